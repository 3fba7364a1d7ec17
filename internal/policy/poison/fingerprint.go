package poison

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Fingerprint returns a hash of a request's content: parts such as its method and path, and
// its body. The request's ID is no part of it, since a caller may resend a request that
// crashed an endpoint under a new ID.
func Fingerprint(body []byte, parts ...string) uint64 {
	return FingerprintSegments([][]byte{body}, parts...)
}

// FingerprintSegments is Fingerprint for a body in segments, however it is divided.
func FingerprintSegments(body [][]byte, parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		_, _ = d.WriteString(part) // a Digest's writes return no error
		_, _ = d.Write([]byte{0})
	}
	for _, segment := range body {
		_, _ = d.Write(segment)
	}
	return d.Sum64()
}

// FormatFingerprint returns a fingerprint as 16 hexadecimal digits, as logs and operators'
// calls have it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// ParseFingerprint returns the fingerprint that FormatFingerprint has written.
func ParseFingerprint(text string) (uint64, error) {
	const base, bits, digits = 16, 64, 16
	if len(text) != digits {
		return 0, errors.Errorf("poison: %q is not a fingerprint of %d hexadecimal digits", text, digits)
	}
	fingerprint, err := strconv.ParseUint(text, base, bits)
	return fingerprint, errors.Wrap(err, "poison: fingerprint")
}
