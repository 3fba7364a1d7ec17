package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrTextMismatch is returned for a text that the engine didn't generate for the
// prompt.
var ErrTextMismatch = errors.New("standin: text does not belong to the prompt")

// Token returns the token at a position. Its hash depends on prompt, seed and
// position, and its suffix names the weight version that generated it, so a
// truncated, mixed-up or mislabelled answer is visible in the text itself.
func Token(prompt string, seed int64, position int, version int64) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, position))
	return fmt.Sprintf(" %04x.%d", sum&0xffff, version)
}

// TokenCount returns the number of tokens that the engine generates for a prompt.
// It has a long-tailed distribution from 4 to limit; a limit of 0 means 64.
func TokenCount(prompt string, seed int64, limit int) int {
	if limit <= 0 {
		limit = 64
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d", prompt, seed))
	draw := float64(sum%1000+1) / 1000
	return min(limit, 3+int(float64(limit)*0.1/draw+1))
}

// CheckText returns the version of each token of a complete text, or
// ErrTextMismatch.
func CheckText(prompt string, seed int64, text string) ([]int64, error) {
	versions, err := textVersions(text)
	if err != nil {
		return nil, err
	}
	for i, word := range strings.Fields(text) {
		if Token(prompt, seed, i, versions[i]) != " "+word {
			return nil, errors.Wrapf(ErrTextMismatch, "token %d", i)
		}
	}
	return versions, nil
}

// textVersions returns the versions named by the suffixes of the tokens.
func textVersions(text string) ([]int64, error) {
	var versions []int64
	for i, word := range strings.Fields(text) {
		_, suffix, _ := strings.Cut(word, ".")
		version, err := strconv.ParseInt(suffix, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrTextMismatch, "token %d", i)
		}
		versions = append(versions, version)
	}
	return versions, nil
}
