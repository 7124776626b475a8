package document_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Numbers of workspaces on the capacity page: a small system, a medium one and the target size.
var benchWorkspaces = []int{8, 80, 240}

// Other dimensions of a document of the target size.
const (
	benchModels  = 19
	benchDomains = 5
	benchFleet   = 440
)

func benchKey(i int) string {
	return fmt.Sprintf("csh_key-of-workspace-%03d", i)
}

// benchDocument returns a document with 19 models, each with an endpoint kind and a fleet in 5 failure domains, and one key for
// each workspace.
func benchDocument(workspaces int) *document.Document {
	d := &document.Document{}
	for i := range benchModels {
		model := wire.ModelName(fmt.Sprintf("model-%02d", i))
		kind := wire.EndpointKindName("kind-" + model)
		d.Model = append(d.Model, document.Model{
			Name: model, Version: "v1", PromptPrice: 400, OutputPrice: 1600, MaxOutput: 2048,
		})
		d.EndpointKind = append(d.EndpointKind, document.EndpointKind{
			Name: kind, Serves: document.ServesModel, Model: model, Concurrency: 16,
		})
		for domain := range benchDomains {
			name := wire.DomainName(fmt.Sprintf("domain-%d", domain))
			d.Fleet = append(d.Fleet, document.Fleet{Domain: name, Kind: kind, Count: benchFleet / benchModels})
		}
	}
	for i := range workspaces {
		d.Workspace = append(d.Workspace, benchWorkspace(i, d.Model))
	}
	return d
}

func benchWorkspace(i int, models []document.Model) document.Workspace {
	w := document.Workspace{Name: wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i)), Weight: 1, MaxConcurrent: 64, KeyValidSeconds: 3600}
	for _, m := range models {
		w.Models = append(w.Models, m.Name)
	}
	w.Key = []document.Key{{Digest: document.KeyDigest(benchKey(i)), Label: "application"}}
	return w
}

func benchText(b *testing.B, workspaces int) []byte {
	b.Helper()
	text, err := document.Encode(benchDocument(workspaces))
	if err != nil {
		b.Fatal(err)
	}
	return text
}

func BenchmarkKeyLookup(b *testing.B) {
	for _, n := range benchWorkspaces {
		index := document.NewIndex(benchDocument(n))
		key := benchKey(n / 2)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := index.KeyIndex().Workspace(document.KeyDigest(key)); !ok {
					b.Fatal("the key was not found")
				}
			}
		})
	}
}

func BenchmarkApplyDocument(b *testing.B) {
	for _, n := range benchWorkspaces {
		text := benchText(b, n)
		digest := document.Digest(text)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := document.NewCurrent().Apply(1, digest, text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "document-B")
			b.ReportMetric(benchGzipSize(b, text), "compressed-B")
		})
	}
}

// benchGzipSize returns the size of a text in bytes after compression with gzip.
func benchGzipSize(b *testing.B, text []byte) float64 {
	b.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(text); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return float64(compressed.Len())
}

// BenchmarkDocumentMemory reports the heap bytes that one accepted document occupies.
func BenchmarkDocumentMemory(b *testing.B) {
	const copies = 10
	for _, n := range benchWorkspaces {
		text := benchText(b, n)
		digest := document.Digest(text)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			for b.Loop() {
				documents := make([]*document.Current, copies)
				before := benchHeap()
				for i := range documents {
					documents[i] = document.NewCurrent()
					if _, err := documents[i].Apply(1, digest, text); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((benchHeap()-before)/copies, "held-B")
				runtime.KeepAlive(documents)
			}
		})
	}
}

// benchHeap returns the allocated heap bytes after a garbage collection.
func benchHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
