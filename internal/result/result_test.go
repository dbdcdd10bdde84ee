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

// TestTableInDocs holds that docs/RESULT-CODES.md lists exactly the codes that
// there are, with their class, HTTP status and exit code, and says for each who
// may repeat and what to do.
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
			t.Errorf("docs/RESULT-CODES.md has a row of no code: %s", row)
		}
	}
	is.Equal(got, want) // in the order of their numbers
}

// TestNamesAreUnique holds that a code can be told from its name.
func TestNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]Code{}
	for c, info := range Codes() {
		_, twice := seen[info.Name]
		is.True(!twice)
		seen[info.Name] = c
		is.True(info.Ran != 0)
	}
}

// TestUnknownErrorsMayHaveRun holds that "not run" is never said without proof.
func TestUnknownErrorsMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("x")).Ran, MayHaveRun)
	is.Equal(From(fmt.Errorf("outer: %w", New(NoTarget, "x"))).Ran, NotRun)
	is.Equal(CodeOf(nil), OK)
}
