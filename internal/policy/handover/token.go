package handover

import (
	"fmt"
	"strings"
)

// Session identifies a run of a trainer. It begins with a pull that has no token or has
// Restarted set, and lasts until the next such session is confirmed. Sessions are ordered by
// the epoch of the owner that opened them, then by count.
type Session struct {
	Epoch int64 `json:"epoch"`
	Count int64 `json:"count"`
}

// After reports whether s was opened after other.
func (s Session) After(other Session) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Count > other.Count
}

// Token is the pull token that a trainer gets with each answer and returns with its next
// pull.
type Token struct {
	// Session is the session that the answer belongs to.
	Session Session
	// Parent is the session whose state the trainer resumed from when Session was opened.
	Parent Session
	// Recorded reports that the manifest names Session. Otherwise no lot of the session was
	// recorded, a successor may not know the session, and a restart resumes from Parent.
	Recorded bool
	// Shapes contains the shapes of the steps whose lots the trainer carries.
	Shapes stepShapes
}

const tokenFormat = "%d.%d-%d.%d-%t"

// String returns the encoded token.
func (t Token) String() string {
	return fmt.Sprintf(tokenFormat, t.Session.Epoch, t.Session.Count, t.Parent.Epoch, t.Parent.Count, t.Recorded) + t.Shapes.String()
}

// parseToken parses the result of String. It returns false for any other text.
func parseToken(text string) (Token, bool) {
	var t Token
	head, shapes, _ := strings.Cut(text, "+")
	t.Shapes = parseShapes(shapes)
	n, err := fmt.Sscanf(head, tokenFormat, &t.Session.Epoch, &t.Session.Count, &t.Parent.Epoch, &t.Parent.Count, &t.Recorded)
	return t, err == nil && n == 5 && t.String() == text
}

// resumeSession returns the session whose state a restart with the token resumes from.
func (t Token) resumeSession() Session {
	if t.Recorded {
		return t.Session
	}
	return t.Parent
}

// sameSession reports whether both texts are tokens of the same session.
func sameSession(a, b string) bool {
	ta, oka := parseToken(a)
	tb, okb := parseToken(b)
	return oka && okb && ta.Session == tb.Session
}
