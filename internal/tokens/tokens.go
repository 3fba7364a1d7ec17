// Package tokens stores the tokens of a long text compactly.
package tokens

// Text is a text as the list of tokens that an engine generated. It exists because
// an entry holds all samples of a training step that are in flight, and in a slice
// of strings each token takes about 70 bytes, of which 4 are text. The zero value
// is an empty text. A Text holds up to 4 GiB.
type Text struct {
	bytes []byte
	ends  []uint32 // end offset of each token in bytes
}

// NewText returns the text with the given tokens.
func NewText(list []string) Text {
	var t Text
	t.Append(list)
	return t
}

// Append adds tokens.
func (t *Text) Append(list []string) {
	for _, token := range list {
		t.bytes = append(t.bytes, token...)
		t.ends = append(t.ends, uint32(len(t.bytes)))
	}
}

// Len returns the number of tokens.
func (t *Text) Len() int { return len(t.ends) }

// List returns the tokens, in the form that a request to resume the text needs.
func (t *Text) List() []string {
	list := make([]string, 0, len(t.ends))
	begin := uint32(0)
	for _, end := range t.ends {
		list = append(list, string(t.bytes[begin:end]))
		begin = end
	}
	return list
}

// String returns the whole text.
func (t *Text) String() string { return string(t.bytes) }
