package handover

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Manifest is the record of a feed in the key-value service.
type Manifest struct {
	// Nonce is unique to a write. It shows in a later read whether a write whose answer was
	// lost has taken effect.
	Nonce  string  `json:"nonce"`
	Epoch  int64   `json:"epoch"` // of the owner that wrote the manifest; never decreases
	Ledger *Ledger `json:"ledger"`
}

// ManifestKey returns the key of a feed's manifest.
func ManifestKey(deployment, feed string) string {
	return "feeds/" + deployment + "/" + feed + "/manifest"
}

func (m Manifest) encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		// Numbers, strings and bytes can always be marshalled.
		panic(err)
	}
	return value
}

// DecodeManifest decodes a manifest and checks that it has a ledger.
func DecodeManifest(value []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(value, &m); err != nil {
		return m, errors.Wrap(err, "handover: manifest")
	}
	if m.Ledger == nil || len(m.Ledger.Marks) == 0 || m.Ledger.Shape.Slots() == 0 {
		return m, errors.New("handover: manifest without ledger")
	}
	m.Ledger.rebuildHead()
	return m, nil
}
