package main

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"cowslipshunt.example/wire"
)

// Objects is the object store; an object's name is its content's digest.
type Objects struct {
	mu   sync.Mutex
	data map[wire.Digest][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{data: map[wire.Digest][]byte{}}
}

// Put stores an object and refuses a name that is not its digest.
func (o *Objects) Put(name wire.Digest, data []byte) error {
	if digest := digestOf(data); name != digest {
		return invalid("name %q is not the content's digest %s", name, digest)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
	return nil
}

// Get returns an object.
func (o *Objects) Get(name wire.Digest) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, absent("object %q is absent", name)
	}
	return data, nil
}

func digestOf(data []byte) wire.Digest {
	sum := sha256.Sum256(data)
	return wire.Digest("sha256:" + hex.EncodeToString(sum[:]))
}
