package main

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"cowslipshunt.example/wire"
)

// Objects is a content-addressed object store: an object's name is the SHA-256 digest of its content.
type Objects struct {
	mu   sync.Mutex
	data map[wire.Digest][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{data: map[wire.Digest][]byte{}}
}

// Put stores an object. It rejects a name that is not the content's digest.
func (o *Objects) Put(name wire.Digest, data []byte) error {
	if digest := digestOf(data); name != digest {
		return invalid("name %q is not the content's digest %s", name, digest)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
	return nil
}

// Get returns an object's content, or a Refusal with status 404 if there is none.
func (o *Objects) Get(name wire.Digest) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, notFound("object %q is absent", name)
	}
	return data, nil
}

func digestOf(data []byte) wire.Digest {
	sum := sha256.Sum256(data)
	return wire.Digest("sha256:" + hex.EncodeToString(sum[:]))
}
