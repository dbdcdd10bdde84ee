package result

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestTableInDocs checks that docs/RESULT-CODES.md lists exactly the codes that
// exist, in numerical order, with their execution state, HTTP status and exit
// code, and that the columns on retries and on what to do are filled in.
func TestTableInDocs(t *testing.T) {
	is := is.New(t)
	var want []string
	all := Codes()
	for _, c := range slices.Sorted(maps.Keys(all)) {
		want = append(want, fmt.Sprintf("| %d | `%s` | %s | %d | %d |", c, all[c].Name, all[c].Ran, all[c].HTTPStatus, c.ExitCode()))
	}
	doc, err := os.ReadFile(filepath.Join("..", "..", "docs", "RESULT-CODES.md"))
	is.NoErr(err)
	var got []string
	for _, row := range regexp.MustCompile("(?m)^(\\| \\d+ \\| `\\w+` \\|[^|]*\\|[^|]*\\|[^|]*\\|) [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(doc), -1) {
		got = append(got, row[1])
	}
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("docs/RESULT-CODES.md lacks the row: %s WHO MAY REPEAT | WHAT TO DO |", row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("docs/RESULT-CODES.md has a row for an unknown code: %s", row)
		}
	}
	is.Equal(got, want) // in numerical order
}

// TestNamesAreUnique checks that every code has a name of its own and an
// execution state.
func TestNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]Code{}
	for c, info := range Codes() {
		_, duplicate := seen[info.Name]
		is.True(!duplicate)
		seen[info.Name] = c
		is.True(info.Ran != 0)
	}
}

// TestUnknownErrorsMayHaveRun guards against reporting a request as not run
// without proof: errors without a result code count as "may have run".
func TestUnknownErrorsMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("x")).Ran, MayHaveRun)
	is.Equal(From(fmt.Errorf("outer: %w", New(NoTarget, "x"))).Ran, NotRun)
	is.Equal(CodeOf(nil), OK)
}
