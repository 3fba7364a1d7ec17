package sharerun

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// Guards against subjects whose lines were left out once keeping their places, so that no line about
// another subject is ever written.
func TestLineLimitForgetsSubjects(t *testing.T) {
	expect := NewWithT(t).Expect
	l := &lineLimit{}
	now := time.Unix(1000, 0)
	for i := range maxSubjects {
		for range 2 {
			l.allow(now, subject{1, fmt.Sprint(i)}, logrus.Fields{})
		}
	}
	expect(l.allow(now, subject{1, "other"}, logrus.Fields{})).To(BeFalse(), "the interval is full")
	for range 2 {
		now = now.Add(lineInterval)
		l.allow(now, subject{1, "0"}, logrus.Fields{})
	}
	expect(l.allow(now, subject{1, "other"}, logrus.Fields{})).To(BeTrue())
}
