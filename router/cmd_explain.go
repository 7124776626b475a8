package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"github.com/spf13/cobra"
)

const (
	// explainTimeout bounds the time for the answer of the instance.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds the answer, which has about 300 bytes for each endpoint.
	maxExplanationBytes = 8 << 20
)

// questionFlags are the names of the flags that are passed on as the parameters of the same names.
var questionFlags = []string{"host", "path", "workspace", "timeout", "tokens", "output", "parts"}

func newExplainCommand() *cobra.Command {
	var address string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "say where a request would go now and why",
		Long: "explain asks a running instance where a request would go now and why: its route, workspace and rank, the endpoints considered with their " +
			"costs, the ages of what is known of them, and whether the request would run or be refused. Quotas are not consulted. Nothing is sent to an endpoint and no state " +
			"changes. The instance must serve metrics.",
		Args: command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := url.Values{}
			for _, name := range questionFlags {
				if f := cmd.Flags().Lookup(name); f.Changed {
					v.Set(name, f.Value.String())
				}
			}
			if _, err := parseQuestion(v); err != nil {
				return &process.InputError{Err: err}
			}
			if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
				return &process.InputError{Err: fmt.Errorf("instance: %q is no address such as 127.0.0.1:9100", address)}
			}
			data, err := askExplanation(cmd.Context(), address, v)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(data)
				return err
			}
			var x explanation
			if err := json.Unmarshal(data, &x); err != nil {
				return fmt.Errorf("the instance's answer: %w", err)
			}
			return writeExplanation(cmd.OutOrStdout(), &x)
		},
	}
	cmd.Flags().StringVar(&address, "instance", "", "`ADDRESS` of the instance's metrics listener, such as 127.0.0.1:9100")
	cmd.Flags().String("host", "", "`HOST` of the request")
	cmd.Flags().String("path", "", "`PATH` of the request")
	cmd.Flags().String("workspace", "", "`NAME` of the workspace that sends the request; not needed for public routes")
	cmd.Flags().String("timeout", "", "`DURATION` that the client waits, such as 8s; empty if unknown")
	cmd.Flags().String("tokens", "", "`NUMBER` of tokens of the prompt")
	cmd.Flags().String("output", "", "largest `NUMBER` of tokens of the output")
	cmd.Flags().String("parts", "", "`PARTS` of the prompt with their tokens, such as a:8000,b:1000")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return cmd
}

// askExplanation returns the answer of the instance whose metrics listener has an address.
func askExplanation(ctx context.Context, address string, v url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: explainPath, RawQuery: v.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, &process.InputError{Err: err}
	}
	// The listener is asked directly, without a proxy of the environment.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusBadRequest:
		return nil, &process.InputError{Err: errors.New(strings.TrimSpace(string(data)))}
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("the instance answered with status %d", resp.StatusCode)
	}
	return data, nil
}

// writeExplanation writes an explanation as text.
func writeExplanation(w io.Writer, x *explanation) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	switch x.Outcome {
	case relay.OutcomeRefuse:
		line("refuse\t%s: %s", x.Verdict, x.Reason)
		if x.RetryAfter > 0 {
			line("retry after\t%.0f ms", x.RetryAfter)
		}
	default:
		line("%s\tnow", x.Outcome)
	}
	line("configuration\tversion %d", x.Version)
	line("route\t%s", orNone(x.Route))
	line("workspace\t%s", orNone(string(x.Workspace)))
	line("rank\t%d", x.Rank)
	line("service\t%s, contended: %v", orNone(string(x.Service)), x.Contended)
	line("timeout\t%.0f ms", x.Timeout)
	line("peers\t%d, reports %.0f to %.0f ms old", x.Peers, x.NewestReport, x.OldestReport)
	for _, c := range x.Choices {
		line("")
		line("stage %s\tchosen: %s", c.Stage, orNone(string(c.Chosen)))
		line("endpoint\tdomain\tcost ms\tprefill ms\tqueued\town\tin flight\tuncached\tspeed\tspeed age\trank\tcandidate")
		for _, e := range c.Endpoints {
			age, rank := "nominal", "-"
			if e.Learned {
				age = fmt.Sprintf("%.0f ms", e.SpeedAge)
			}
			if e.Rank >= 0 {
				rank = fmt.Sprint(e.Rank)
			}
			line("%s\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.2f\t%s\t%s\t%v", e.Endpoint, e.Domain, e.Cost, e.Prefill, e.Queued, e.OwnQueued, e.InFlight, e.Uncached,
				e.Speed, age, rank, e.Candidate)
		}
		for _, id := range c.Unavailable {
			line("%s\tgets no requests now", id)
		}
	}
	return t.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
