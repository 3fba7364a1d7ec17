// Package events is the catalogue of numbered log events. Each range of numbers is
// defined in one file. docs/EVENTS.md lists all events with their texts, and a test
// checks that no event is missing there.
package events

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log entry. Operators filter by its number.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

var catalogue = map[int]Event{}

func define(number int, level logrus.Level, text string) Event {
	if _, exists := catalogue[number]; exists {
		panic(fmt.Sprintf("events: number %d is defined twice", number))
	}
	e := Event{Number: number, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// All returns all events in the order of their numbers.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes the event with its number and the given fields. Fields must not contain
// API keys, tokens or request bodies.
func (e Event) Log(log *logrus.Logger, fields logrus.Fields) {
	if !log.IsLevelEnabled(e.Level) {
		return
	}
	log.WithField("event", e.Number).WithFields(fields).Log(e.Level, e.Text)
}
