package kv

import (
	"bytes"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Every value is stored in an envelope with its writer's ID and a nonce. After a
// lost response, a read can therefore tell whether a particular write took effect,
// even if two writers wrote the same payload.
const (
	envelopeMagic   = "skl1"
	fieldWriter     = protowire.Number(1)
	fieldNonce      = protowire.Number(2)
	fieldPayload    = protowire.Number(3)
	maxEnvelopeSize = 256 // bytes of magic, writer, nonce and lengths
)

// MaxPayloadBytes is the size limit of a value passed to Client.CompareAndSwap.
const MaxPayloadBytes = MaxValueBytes - maxEnvelopeSize

var errEnvelope = errors.New("kv: malformed envelope")

// wrap returns the payload in an envelope.
func wrap(writer string, nonce uint64, payload []byte) []byte {
	b := make([]byte, 0, len(payload)+maxEnvelopeSize)
	b = append(b, envelopeMagic...)
	b = protowire.AppendTag(b, fieldWriter, protowire.BytesType)
	b = protowire.AppendString(b, writer)
	b = protowire.AppendTag(b, fieldNonce, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, nonce)
	b = protowire.AppendTag(b, fieldPayload, protowire.BytesType)
	return protowire.AppendBytes(b, payload)
}

// unwrap returns the payload of a stored value. A value without the magic prefix
// was not written by a Client and is returned unchanged.
func unwrap(value []byte) ([]byte, error) {
	rest, marked := bytes.CutPrefix(value, []byte(envelopeMagic))
	if !marked {
		return value, nil
	}
	var payload []byte
	for len(rest) > 0 {
		number, kind, n := protowire.ConsumeTag(rest)
		if n < 0 {
			return nil, errEnvelope
		}
		rest = rest[n:]
		if number == fieldPayload && kind == protowire.BytesType {
			payload, n = protowire.ConsumeBytes(rest)
		} else {
			n = protowire.ConsumeFieldValue(number, kind, rest)
		}
		if n < 0 {
			return nil, errEnvelope
		}
		rest = rest[n:]
	}
	return payload, nil
}
