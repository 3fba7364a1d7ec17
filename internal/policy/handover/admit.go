package handover

import "time"

// recordedCursor returns the cursor up to which the trainer knows that its lots are
// recorded. This is the cursor before the first lot that the pull carries.
func (p Pull) recordedCursor() int64 {
	if len(p.Unrecorded) > 0 {
		return p.Unrecorded[0].Cursor - 1
	}
	return p.Cursor
}

// firstStep returns the step of the first lot that the pull carries, or current if it
// carries none.
func (p Pull) firstStep(current int64) int64 {
	if len(p.Unrecorded) > 0 && len(p.Unrecorded[0].IDs) > 0 {
		return min(p.Unrecorded[0].IDs[0].Step, current)
	}
	return current
}

// opensSession reports whether the pull begins a new session.
func (p Pull) opensSession() bool { return p.Restarted || p.Token == "" }

// admitPulls checks every new pull against the confirmed session, and updates the ledgers
// by what the pulls carry.
func (o *Owner) admitPulls(now time.Time) []Action {
	var acts []Action
	kept := o.pulls[:0:0]
	for _, p := range o.pulls {
		reason := None
		if !p.admitted {
			reason = o.admit(now, &p)
		}
		if reason == None {
			kept = append(kept, p)
			continue
		}
		o.counters.Refused++
		acts = append(acts, Refuse{Call: p.call, Reason: reason})
		if reason == NotOwner || reason == Unaccounted {
			// The pull refers to recordings or sessions that this owner does not know. A
			// successor may have taken over, which only the manifest can show.
			acts = append(acts, o.readManifest()...)
		}
	}
	o.pulls = kept
	return acts
}

func (o *Owner) admit(now time.Time, p *pendingPull) Refusal {
	reason := o.admitSession(p)
	if reason == None {
		p.admitted = true
		o.observeVersion(now, p.pull.Version)
	}
	return reason
}

// admitSession checks the pull's session. It returns None if the pull may be answered.
func (o *Owner) admitSession(p *pendingPull) Refusal {
	token, ok := parseToken(p.pull.Token)
	if !ok && p.pull.Token != "" {
		return BadToken
	}
	switch {
	case token.Session.Epoch > o.epoch:
		return NotOwner
	case p.pull.opensSession():
		return o.openSession(p, token)
	case token.Session == o.confirmed.Session:
		p.token = token
		return o.extendSession(p.pull, token)
	case token.Session.After(o.confirmed.Session) && token.Recorded:
		// The manifest has named the session since it was read here. So a successor has
		// taken over, and what it recorded in the session is not known here.
		return NotOwner
	case token.Session.After(o.confirmed.Session):
		p.token = token
		return o.confirmSession(p.pull, token)
	default:
		return Superseded
	}
}

// extendSession adds the lots of a pull of the confirmed session to the confirmed ledger.
func (o *Owner) extendSession(p Pull, token Token) Refusal {
	if p.Cursor < o.confirmed.Cursor() {
		return Late
	}
	extended := false
	for _, held := range p.Unrecorded {
		if held.Cursor != o.confirmed.Cursor()+1 {
			continue
		}
		if reason := o.confirmed.appendHeld(held, token.Shapes); reason != None {
			return reason
		}
		extended = true
	}
	if o.confirmed.Cursor() != p.Cursor {
		return Unaccounted
	}
	if extended || o.unconfirmed != nil {
		// The confirmed session is still in use, so the pull that opened an unconfirmed
		// session was a late duplicate.
		o.unconfirmed = nil
		o.dropHeld()
	}
	return None
}

// openSession opens a session for a trainer's first pull after a start. The confirmed
// ledger stays as it is, because the pull may be a late duplicate whose trainer has
// continued since. Only a trainer that accepted the answer can present its token, and the
// token confirms the session.
func (o *Owner) openSession(p *pendingPull, token Token) Refusal {
	parent := token.resumeSession()
	ledger, reason := o.deriveLedger(p.pull, parent, token.Shapes)
	if reason != None {
		return reason
	}
	o.sessionCount++
	ledger.Session = Session{Epoch: o.epoch, Count: o.sessionCount}
	o.unconfirmed = ledger
	p.token = Token{Session: ledger.Session, Parent: parent}
	o.changeCount++
	return None
}

// confirmSession makes a session that this owner or a predecessor opened the confirmed one.
func (o *Owner) confirmSession(p Pull, token Token) Refusal {
	ledger, reason := o.deriveLedger(p, token.Parent, token.Shapes)
	if reason != None {
		return reason
	}
	ledger.Session = token.Session
	if p.recordedCursor() < o.confirmed.Cursor() {
		ledger.Branches = append(ledger.Branches, Branch{Session: token.Session, From: p.recordedCursor()})
	}
	if p.Cursor < o.confirmed.Cursor() {
		o.counters.Rewinds++
	}
	o.confirmed = ledger
	o.unconfirmed = nil
	o.dropHeld()
	return None
}

// deriveLedger returns the ledger of a trainer that resumed from the state of the session
// parent at the pull's recorded cursor, extended by the lots that the pull carries.
func (o *Owner) deriveLedger(p Pull, parent Session, shapes stepShapes) (*Ledger, Refusal) {
	switch {
	case parent.After(o.confirmed.Session):
		return nil, Unaccounted
	case p.recordedCursor() > o.confirmed.Cursor():
		return nil, Unaccounted
	case o.confirmed.abandoned(parent, p.recordedCursor()):
		return nil, TooOld
	}
	ledger := o.confirmed.At(p.recordedCursor())
	if ledger == nil {
		return nil, TooOld
	}
	for _, held := range p.Unrecorded {
		if held.Cursor != ledger.Cursor()+1 {
			return nil, Unaccounted
		}
		if reason := ledger.appendHeld(held, shapes); reason != None {
			return nil, reason
		}
	}
	if ledger.Cursor() != p.Cursor {
		return nil, Unaccounted
	}
	return ledger, None
}
