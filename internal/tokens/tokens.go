// Package tokens keeps the tokens of a long text in little memory.
package tokens

// Text is a text in the tokens that an engine made. An entry holds all samples of
// a training step in flight; as a slice of strings each token takes some seventy
// bytes, of which four are text. The zero value is empty. It holds up to 4 GiB.
type Text struct {
	bytes []byte
	ends  []uint32 // of each token, in bytes
}

// NewText returns the text of the tokens.
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

// List returns the tokens, as a request that resumes the text names them.
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
