package runner

import (
	"fmt"
	"os"
	"strings"
)

// minTokenBytes is the minimum length of the operators' token in bytes. A shorter token could be guessed.
const minTokenBytes = 16

// readOperatorToken reads the operators' bearer token from a file.
func readOperatorToken(file string) (string, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the settings name the file
	if err != nil {
		return "", fmt.Errorf("read operator token: %w", err)
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		return "", fmt.Errorf("read operator token: %s: token has %d bytes, want at least %d", file, len(token), minTokenBytes)
	}
	return token, nil
}

// readPepper reads the secret with which keys are hashed. It refuses an empty one, with which anybody could compute the
// hashes.
func readPepper(file string) ([]byte, error) {
	pepper, err := os.ReadFile(file) //nolint:gosec // the settings name the file
	if err != nil {
		return nil, fmt.Errorf("read pepper: %w", err)
	}
	if strings.TrimSpace(string(pepper)) == "" {
		return nil, fmt.Errorf("read pepper: %s is empty", file)
	}
	return pepper, nil
}
