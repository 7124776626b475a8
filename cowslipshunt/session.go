package main

import (
	"net/netip"
	"os"
	"strings"

	"cowslipshunt.example/shared/console"
)

// tokenVariable is the environment variable that may hold the operator's token.
const tokenVariable = "COWSLIPSHUNT_TOKEN"

// session holds the global flags.
type session struct {
	entry     string
	tokenFile string
}

// client returns a client for the entry; its error is an InputError.
func (s *session) client() (*console.Client, error) {
	if s.entry == "" {
		return nil, inputError("--entry is missing")
	}
	if _, err := netip.ParseAddrPort(s.entry); err != nil {
		return nil, inputError("--entry: %q is no IP number with a port", s.entry)
	}
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	return console.NewClient(s.entry, token), nil
}

func (s *session) token() (string, error) {
	if s.tokenFile == "" {
		token := strings.TrimSpace(os.Getenv(tokenVariable))
		if token == "" {
			return "", inputError("there is no token: give --token-file or %s", tokenVariable)
		}
		return token, nil
	}
	text, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return "", inputError("--token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", inputError("--token-file: %s is empty", s.tokenFile)
	}
	return token, nil
}
