package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrTextMismatch is returned for a text that is not what the engine made for the prompt.
var ErrTextMismatch = errors.New("standin: text does not belong to the prompt")

// Token returns the token at a position: its hash binds it to prompt, seed and
// position, its suffix names the version that produced it. So a cut, mixed-up
// or mislabelled answer shows in the text itself.
func Token(prompt string, seed int64, position int, version int64) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, position))
	return fmt.Sprintf(" %04x.%d", sum&0xffff, version)
}

// TokenCount returns how many tokens the engine makes for a prompt: long-tailed,
// from 4 up to limit; 0 stands for a limit of 64.
func TokenCount(prompt string, seed int64, limit int) int {
	if limit <= 0 {
		limit = 64
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d", prompt, seed))
	draw := float64(sum%1000+1) / 1000
	return min(limit, 3+int(float64(limit)*0.1/draw+1))
}

// CheckText returns the version of each token of a whole text, from its first
// position on, or ErrText.
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

// textVersions returns the versions that the tokens name.
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
