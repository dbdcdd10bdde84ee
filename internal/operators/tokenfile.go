package operators

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

const (
	tokenFileMode   = 0o600
	tokenFolderMode = 0o700
)

// CreateTokenFile generates a token and writes its hash to a new file at path.
// It returns the token, which is not stored anywhere, or "" if the file exists.
func CreateTokenFile(path string) (token string, err error) {
	if err := os.MkdirAll(filepath.Dir(path), tokenFolderMode); err != nil {
		return "", fmt.Errorf("token hash file: %w", err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, tokenFileMode)
	if errors.Is(err, fs.ErrExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("token hash file: %w", err)
	}
	token = rand.Text()
	_, err = fmt.Fprintln(f, HashToken(token))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return "", fmt.Errorf("token hash file: %w", err)
	}
	return token, nil
}

// ReadTokenHashes returns the hashes in the file at path, one per line. Empty
// lines and lines that begin with # are ignored.
func ReadTokenHashes(path string) ([]TokenHash, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("token hash file: %w", err)
	}
	defer f.Close()
	var hashes []TokenHash
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		h, err := ParseTokenHash(line)
		if err != nil {
			return nil, fmt.Errorf("token hash file %s, line %d: %w", path, n, err)
		}
		hashes = append(hashes, h)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("token hash file: %w", err)
	}
	return hashes, nil
}
