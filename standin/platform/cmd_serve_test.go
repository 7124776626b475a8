package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
)

// startServe runs the serve command with a settings file. It returns the command's log and a channel for its error.
func startServe(ctx context.Context, t *testing.T, settings string) (*bufio.Scanner, <-chan error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "platform.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	root := newRootCommand()
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetErr(w)
	root.SetArgs([]string{"serve", "--settings", file})
	done := make(chan error, 1)
	go func() {
		done <- root.ExecuteContext(ctx)
		w.Close()
	}()
	return bufio.NewScanner(r), done
}

func TestServeListensAndStops(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	lines, done := startServe(ctx, t, "Address='127.0.0.1:0'\nOperationsAddress='127.0.0.1:0'\n")
	var line struct{ Address, OperationsAddress, Program string }
	if !lines.Scan() {
		t.Fatal("serve ended without a log line: ", <-done)
	}
	if err := json.Unmarshal(lines.Bytes(), &line); err != nil || line.Program != "standin-platform" {
		t.Fatalf("%s: %v", lines.Bytes(), err)
	}
	if _, err := platform.NewClient(line.Address).Read(ctx, "t", "k"); err != nil {
		t.Error(err)
	}
	for _, path := range []string{"/readyz", "/healthz", "/metrics"} {
		answer, err := http.Get("http://" + line.OperationsAddress + path)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", path, answer.StatusCode)
		}
	}
	stop()
	for lines.Scan() {
	}
	if err := <-done; err != nil {
		t.Errorf("serve returned %v after the stop", err)
	}
}

func TestServeRejectsBadSettings(t *testing.T) {
	const good = "Address='127.0.0.1:0'\nOperationsAddress='127.0.0.1:0'\n"
	for _, text := range []string{
		"", "Address='x'\nOperationsAddress='127.0.0.1:0'\n", good + "Unknown=1\n", good + "WeightBytesPerSecond=0\n",
		good + "[[Endpoint]]\nEndpoint='e'\nDomain='d'\nKind='k'\n",
	} {
		_, done := startServe(t.Context(), t, text)
		if err := <-done; process.ExitCode(err) != process.ExitInput {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
