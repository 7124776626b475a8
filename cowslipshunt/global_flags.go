package main

import (
	"net/netip"
	"os"
	"strings"

	"cowslipshunt.example/shared/console"
)

// tokenVariable is the environment variable that holds the operator's token when --token-file is not given.
const tokenVariable = "COWSLIPSHUNT_TOKEN"

// globalFlags are the flags that all commands share. They set the address of an entry and the operator's token.
type globalFlags struct {
	entry     string
	tokenFile string
}

// client returns a client for the entry. Its errors are InputErrors.
func (f *globalFlags) client() (*console.Client, error) {
	if f.entry == "" {
		return nil, inputError("--entry is missing")
	}
	if _, err := netip.ParseAddrPort(f.entry); err != nil {
		return nil, inputError("--entry: %q is not an IP address with a port", f.entry)
	}
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	return console.NewClient(f.entry, token), nil
}

func (f *globalFlags) token() (string, error) {
	if f.tokenFile == "" {
		token := strings.TrimSpace(os.Getenv(tokenVariable))
		if token == "" {
			return "", inputError("no operator token: set --token-file or %s", tokenVariable)
		}
		return token, nil
	}
	text, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return "", inputError("--token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", inputError("--token-file: %s is empty", f.tokenFile)
	}
	return token, nil
}
