package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	sharedprocess "cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// Names and secrets that the benchmarks share.
const (
	domain        = "domain-1"
	operatorToken = "operator-token"
	callerKey     = "csh_caller"
)

type peerSettings struct {
	Instance, Domain, Address string
}

type operatorSettings struct {
	Name, TokenDigest string
}

// entrySettings are the settings of an entry that the benchmarks use, written as TOML under their field names.
type entrySettings struct {
	Instance, Domain, LogLevel                                         string
	Address, OperatorAddress, PeerAddress, OperationsAddress, Platform string
	Peer                                                               []peerSettings
	Operator                                                           []operatorSettings
}

func newEntrySettings(b *testing.B, name, platform string) *entrySettings {
	b.Helper()
	return &entrySettings{
		Instance: name, Domain: domain, LogLevel: "info", Platform: platform,
		Address: freeAddress(b), OperatorAddress: freeAddress(b), PeerAddress: freeAddress(b), OperationsAddress: freeAddress(b),
		Operator: []operatorSettings{{Name: "bench", TokenDigest: string(document.KeyDigest(operatorToken))}},
	}
}

// addPeer adds another entry to the peers in the settings.
func (s *entrySettings) addPeer(other *entrySettings) {
	s.Peer = append(s.Peer, peerSettings{Instance: other.Instance, Domain: other.Domain, Address: other.PeerAddress})
}

// startPlatform starts the stand-in platform and returns its address.
func startPlatform(b *testing.B) string {
	b.Helper()
	address, operations := freeAddress(b), freeAddress(b)
	start(b, "standin-platform", map[string]any{"Address": address, "OperationsAddress": operations, "Instance": "platform", "LogLevel": "error"})
	waitReady(b, operations)
	return address
}

func waitReady(b *testing.B, operations string) {
	b.Helper()
	waitFor(b, "the readiness of "+operations, func() bool {
		resp, err := http.Get("http://" + operations + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// callOperators sends a request to the operators' interface and decodes the answer.
func (s *entrySettings) callOperators(method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+s.OperatorAddress+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, into)
}

// submitDocument submits a document based on a version.
func (s *entrySettings) submitDocument(b *testing.B, d *document.Document, base wire.DocumentVersion) {
	b.Helper()
	text, err := document.Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	waitFor(b, "the operators' interface", func() bool { return s.callOperators(http.MethodGet, "/v1/status", nil, &wire.StatusAnswer{}) == nil })
	request := wire.SubmitRequest{BaseVersion: base, File: "bench.toml", Text: string(text), Why: "bench"}
	if err := s.callOperators(http.MethodPost, "/v1/document", request, &wire.SubmitAnswer{}); err != nil {
		b.Fatal(err)
	}
}

// status returns the state of the system as reported by the entry.
func (s *entrySettings) status(b *testing.B) wire.StatusAnswer {
	b.Helper()
	var answer wire.StatusAnswer
	if err := s.callOperators(http.MethodGet, "/v1/status", nil, &answer); err != nil {
		b.Fatal(err)
	}
	return answer
}

// sendEndpoints connects to the entry as the holder of its domain's lease and sends it a list of endpoints.
func (s *entrySettings) sendEndpoints(b *testing.B, endpoints []wire.EndpointState) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	self := wire.Hello{Instance: "holder", Incarnation: "holder", Domain: domain, Program: wire.ProgramDuties, Epoch: 1}
	hub := channel.NewHub(self, sharedprocess.NewLogger(io.Discard, "error", "bench", "holder"))
	b.Cleanup(func() {
		cancel()
		_ = hub.Close()
	})
	up, err := hub.Subscribe(ctx, channel.TopicLinkUp)
	if err != nil {
		b.Fatal(err)
	}
	hub.Dial(ctx, s.PeerAddress)
	m := <-up
	m.Ack()
	states := wire.EndpointStates{Domain: domain, Epoch: 1, Sequence: 1, Endpoints: endpoints}
	if err := channel.Send(hub, "", "EndpointStates", states); err != nil {
		b.Fatal(err)
	}
	waitFor(b, "the entry's list of endpoints", func() bool { return len(s.status(b).Endpoints) == len(endpoints) })
}
