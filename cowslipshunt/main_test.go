package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cowslipshunt.example/shared/process"
)

// program is the path of the built command.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cowslipshunt")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "cowslipshunt")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// closedAddress returns a loopback address that nothing listens on.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestExitCodes(t *testing.T) {
	tokenFile := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokenFile, []byte(testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	open, closed := "--entry "+newFakeEntry(t).address, "--entry "+closedAddress(t)
	token := " --token-file " + tokenFile + " "
	tests := []struct {
		args string
		code int
		want string
	}{
		{"", process.ExitOK, ""},
		{"version", process.ExitOK, ""},
		{"completion bash", process.ExitOK, ""},
		{"document check ../examples/document.toml", process.ExitOK, "no findings"},
		{open + token + "status", process.ExitOK, ""},
		{open + token + "document submit testdata/more.toml --base 7 --why growth", process.ExitOK, "in force in: qld-a"},
		{closed + token + "status", process.ExitFailure, "connection refused"},
		{open + " status", process.ExitFailure, "status 401: unknown token"},
		{"document check testdata/bad.toml", process.ExitInput, "testdata/bad.toml:4:1: Fleet[0].Count: -1 is negative"},
		{"document check absent.toml", process.ExitInput, "no such file"},
		{"document check", process.ExitInput, "accepts 1 arg"},
		{"document chek x", process.ExitInput, "unknown command"},
		{"nonsense", process.ExitInput, "unknown command"},
		{"status --colour", process.ExitInput, "unknown flag"},
		{"status" + token, process.ExitInput, "--entry is missing"},
		{"status --entry localhost" + token, process.ExitInput, "not an IP address with a port"},
		{open + " --token-file absent status", process.ExitInput, "no such file"},
		{open + token + "document submit testdata/more.toml --why growth", process.ExitInput, "--base is missing"},
		{open + token + "document submit testdata/more.toml --base 7", process.ExitInput, "--why is missing"},
		{open + token + "key withdraw --workspace bluegum-venues --label none --why x", process.ExitInput, "has no key none"},
		{open + token + "key issue --workspace none --label a --why x", process.ExitInput, "no workspace"},
		{open + token + "document submit testdata/more.toml --base 7 --why late", process.ExitConflict, "drafting Count 2 -> 3"},
	}
	for _, test := range tests {
		cmd := exec.Command(program, strings.Fields(test.args)...)
		cmd.Env = append(os.Environ(), tokenVariable+"=wrong-token")
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if code := cmd.ProcessState.ExitCode(); code != test.code || !strings.Contains(stderr.String(), test.want) {
			t.Errorf("%s: exit code %d, want %d and %q; got %s", test.args, code, test.code, test.want, &stderr)
		}
	}
}
