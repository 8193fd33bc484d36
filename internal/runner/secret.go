package runner

import (
	"fmt"
	"os"
	"strings"
)

// minToken is the shortest operators' token in bytes. A shorter one could be guessed.
const minToken = 16

// operatorToken reads the operators' bearer token from a file.
func operatorToken(file string) (string, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the settings name the file
	if err != nil {
		return "", fmt.Errorf("read operator token: %w", err)
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minToken {
		return "", fmt.Errorf("read operator token: %s: want at least %d characters", file, minToken)
	}
	return token, nil
}

// readPepper reads the secret under which keys are hashed. With an empty one, hashes could be computed by anybody.
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
