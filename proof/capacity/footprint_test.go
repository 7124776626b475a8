package capacity

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// watched is how long an idle entry is watched.
const watched = 10 * time.Second

// The target's size.
const (
	targetWorkspaces = 240
	targetModels     = 19
	targetEndpoints  = 440
)

func targetDocument() *document.Document {
	d := &document.Document{}
	for i := range targetModels {
		model := wire.ModelName(fmt.Sprintf("model-%02d", i))
		d.Model = append(d.Model, document.Model{Name: model, Version: "v1", PromptPrice: 400, OutputPrice: 1600, MaxOutput: 2048})
		d.EndpointKind = append(d.EndpointKind, document.EndpointKind{
			Name: wire.EndpointKindName("kind-" + model), Serves: document.ServesModel, Model: model, Concurrency: 16,
		})
	}
	for i := range targetWorkspaces {
		w := document.Workspace{Name: wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i))}
		for _, m := range d.Model {
			w.Models = append(w.Models, m.Name)
		}
		w.Key = []document.Key{{Label: "application", Digest: document.KeyDigest(fmt.Sprintf("csh_key-%03d", i))}}
		d.Workspace = append(d.Workspace, w)
	}
	return d
}

func targetStates() []wire.EndpointState {
	var list []wire.EndpointState
	for i := range targetEndpoints {
		model := wire.ModelName(fmt.Sprintf("model-%02d", i%targetModels))
		list = append(list, wire.EndpointState{
			Endpoint: wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i)), Domain: domain, Kind: wire.EndpointKindName("kind-" + model),
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Model: model, ModelVersion: "v1",
			Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
		})
	}
	return list
}

// BenchmarkIdleEntry watches one idle entry with the target's document and a domain's endpoints. Each peer is an entry of its
// own that knows only the watched one; as in a full mesh, the watched entry and each peer link both ways.
func BenchmarkIdleEntry(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			platform := startPlatform(b)
			entry := newEntrySettings(b, "watched", platform)
			var peers []*entrySettings
			for i := range n {
				p := newEntrySettings(b, fmt.Sprintf("peer-%02d", i), platform)
				p.know(entry)
				entry.know(p)
				peers = append(peers, p)
			}
			running := start(b, "entry", entry)
			for _, p := range peers {
				start(b, "entry", p)
			}
			entry.submit(b, targetDocument(), 0)
			entry.hold(b, targetStates())
			waitFor(b, "every peer's link and document", func() bool { return settled(entry.status(b), 1) })

			for b.Loop() {
				report(b, running.read(b), running.after(b, watched))
			}
			change(b, entry, running)
		})
	}
}

// change submits a document at the watched entry and waits until every instance has confirmed it.
func change(b *testing.B, entry *entrySettings, running *process) {
	b.Helper()
	d := targetDocument()
	d.Workspace[0].Weight = 2
	before, started := running.read(b), time.Now()
	entry.submit(b, d, 1)
	waitFor(b, "the change", func() bool { return settled(entry.status(b), 2) })
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "change-ms")
	b.ReportMetric(float64(running.read(b).sentBytes-before.sentBytes), "change-out-B")
}

// settled tells whether every instance is linked and has the document.
func settled(s wire.StatusAnswer, version wire.DocumentVersion) bool {
	for _, i := range s.Instances {
		if !i.Connected || i.DocumentVersion != version {
			return false
		}
	}
	return true
}

// after returns a reading at the end of a while.
func (p *process) after(b *testing.B, while time.Duration) reading {
	b.Helper()
	<-time.After(while)
	return p.read(b)
}

func report(b *testing.B, from, to reading) {
	b.Helper()
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric(100*(to.processor-from.processor).Seconds()/seconds, "%core")
	b.ReportMetric(float64(to.readBytes-from.readBytes)/seconds, "in-B/s")
	b.ReportMetric(float64(to.sentBytes-from.sentBytes)/seconds, "out-B/s")
	b.ReportMetric(float64(to.resident)/(1<<20), "resident-MiB")
}
