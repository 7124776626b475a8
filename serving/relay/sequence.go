package relay

import (
	"errors"
	"fmt"
	"strconv"
)

// sequence checks the order of a stream's events, whose ids are numbers that rise.
type sequence struct {
	// skips is set once the ids of an answer have left out numbers: a gap then does not show that an event is missing.
	skips bool
	// unnumbered is set while the last event that was delivered has no id: a stream cannot be resumed after it.
	unnumbered bool
}

// errNoEventID is returned for a resumed stream that begins with an event without an id.
var errNoEventID = errors.New("the resumed stream begins with an event without an id")

// check returns an error if an event with an id may not follow the one with the id last. In an answer that resumes a stream it has to be the
// very next.
func (s *sequence) check(e *Event, last string, resumes bool) error {
	if e.ID == "" || last == "" {
		return nil
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return nil
	}
	id, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil || id <= before || resumes && !s.skips && id != before+1 {
		return fmt.Errorf("event %.32q came after event %.32q", e.ID, last)
	}
	s.skips = s.skips || id != before+1
	return nil
}

// record records that an event was delivered.
func (s *sequence) record(e *Event) {
	if e.HasData {
		s.unnumbered = e.ID == ""
	}
}

// eventReader reads the events of an answer that may go on in the caller's stream.
type eventReader struct {
	job  *job
	send *send
	// resumes is set if the answer resumes a stream.
	resumes bool
	// placed is set once it is known that the answer begins where it should.
	placed bool
}

func (j *job) newEventReader(s *send) *eventReader {
	return &eventReader{job: j, send: s, resumes: j.streaming, placed: !j.streaming}
}

// receive waits for the next event, without the job's lock.
func (r *eventReader) receive() (Event, error) {
	r.job.beginWait(r.send)
	defer r.job.endWait(r.send)
	return r.send.nextEvent()
}

// next waits for the next event and returns it, as Body.Next does. While it waits, the request may be handed over. An event that may not follow
// the last one that was delivered is an error. What precedes the first event of an answer that resumes a stream is dropped, as it need not be
// part of that stream.
func (r *eventReader) next() (Event, error) {
	for {
		event, err := r.receive()
		if err != nil {
			return Event{}, err
		}
		if !event.HasData {
			if r.placed {
				return event, nil
			}
			continue
		}
		if err := r.check(&event); err != nil {
			return Event{}, err
		}
		r.placed = true
		return event, nil
	}
}

// check returns an error if an event with data may not follow the last one that was delivered.
func (r *eventReader) check(e *Event) error {
	if !r.placed && e.ID == "" {
		return errNoEventID
	}
	return r.job.sequence.check(e, r.job.lastEvent, r.resumes)
}
