package roster

// HeldBytes returns the bytes of this instance's requests that were sent to the endpoint and are not answered yet.
func (e *Endpoint) HeldBytes() int64 {
	return e.heldBytes.Load()
}

// Hold adds the bytes of a request that is sent to the endpoint, or takes them off with a negative number.
func (e *Endpoint) Hold(bytes int) {
	e.heldBytes.Add(int64(bytes))
}
