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

// program is the built program.
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

// closedAddress returns a loopback address where nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestExitCodesOfTheProgram(t *testing.T) {
	tokens := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokens, []byte(testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	live, closed := "--entry "+newFakeEntry(t).address, "--entry "+closedAddress(t)
	token := " --token-file " + tokens + " "
	tests := []struct {
		args string
		code int
		says string
	}{
		{"", process.ExitOK, ""},
		{"version", process.ExitOK, ""},
		{"completion bash", process.ExitOK, ""},
		{"document check ../examples/document.toml", process.ExitOK, "no findings"},
		{live + token + "status", process.ExitOK, ""},
		{live + token + "document submit testdata/more.toml --base 7 --why growth", process.ExitOK, "in force in: qld-a"},
		{closed + token + "status", process.ExitFailure, "connection refused"},
		{live + " status", process.ExitFailure, "status 401: unknown token"},
		{"document check testdata/bad.toml", process.ExitInput, "testdata/bad.toml:4:1: Fleet[0].Count: -1 is negative"},
		{"document check absent.toml", process.ExitInput, "no such file"},
		{"document check", process.ExitInput, "accepts 1 arg"},
		{"document chek x", process.ExitInput, "unknown command"},
		{"nonsense", process.ExitInput, "unknown command"},
		{"status --colour", process.ExitInput, "unknown flag"},
		{"status" + token, process.ExitInput, "--entry is missing"},
		{"status --entry localhost" + token, process.ExitInput, "no IP number"},
		{live + " --token-file absent status", process.ExitInput, "no such file"},
		{live + token + "document submit testdata/more.toml --why growth", process.ExitInput, "--base is missing"},
		{live + token + "document submit testdata/more.toml --base 7", process.ExitInput, "--why is missing"},
		{live + token + "key withdraw --workspace bluegum-venues --label none --why x", process.ExitInput, "has no key none"},
		{live + token + "key issue --workspace none --label a --why x", process.ExitInput, "no workspace"},
		{live + token + "document submit testdata/more.toml --base 7 --why late", process.ExitConflict, "drafting Count 2 -> 3"},
	}
	for _, test := range tests {
		cmd := exec.Command(program, strings.Fields(test.args)...)
		cmd.Env = append(os.Environ(), tokenVariable+"=wrong-token")
		var remarks bytes.Buffer
		cmd.Stderr = &remarks
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if code := cmd.ProcessState.ExitCode(); code != test.code || !strings.Contains(remarks.String(), test.says) {
			t.Errorf("%s: exit code %d, want %d and %q; got %s", test.args, code, test.code, test.says, &remarks)
		}
	}
}
