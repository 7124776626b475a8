package channel

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns a value of a wire type as CBOR.
func Encode(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// Decode returns the value of a wire type that data holds as CBOR.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
