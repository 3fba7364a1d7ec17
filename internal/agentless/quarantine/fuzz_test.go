package quarantine_test

import (
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/standin"
)

// FuzzLearn guards against entries of other processes that crash this one, or that count although a
// value is out of its bounds.
func FuzzLearn(f *testing.F) {
	now := time.Now().UnixMilli()
	good := quarantine.NewEntry(1, endpoint("a"), "p", now)
	f.Add(good.Key, now, "a", "app", "p", "h", "/p", int64(1), uint64(1), false)
	f.Add(good.Key, now, "", "", "", "", "", int64(0), uint64(0), true)
	f.Add("live/crashes/zz/1", int64(-1<<63), "a", "app", "p", "h", "/p", int64(-1), uint64(1), false)
	f.Add(good.Key, int64(1<<63-1), "a", "app", "p", "h", "/p", int64(1), uint64(1), false)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, key string, at int64, id, service, reporter, host, path string, startedAt int64, fingerprint uint64, withdrawn bool) {
		q := quarantine.New("self", standin.NewTransactionalStore(), endedAddresses{}, log, metrics.NewRegistry())
		e := quarantine.Entry{Key: key, At: at, Withdrawn: withdrawn, Report: quarantine.Report{
			Fingerprint: fingerprint, Service: service, Endpoint: id, StartedAtMillis: startedAt, Reporter: reporter, Host: host, Path: path, UnixMilli: at,
		}}
		if err := q.Learn("p", true, e); err != nil || withdrawn {
			if len(q.Status()) != 0 {
				t.Errorf("an entry that is not used counts: %v", err)
			}
			return
		}
		known := q.Status()
		if len(known) != 1 || id == "" || service == "" || reporter == "" || max(len(id), len(service), len(reporter), len(host)) > 255 || len(path) > 200 {
			t.Errorf("%v counts with %q of %q by %q", known, id, service, reporter)
		}
		if age := time.Since(time.UnixMilli(at)); age > time.Hour+time.Minute || age < -2*time.Minute {
			t.Errorf("a report of an end %v ago counts", age)
		}
	})
}
