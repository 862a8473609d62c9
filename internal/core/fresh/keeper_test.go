package fresh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const bound = 3 * time.Second

var (
	mine   = model.ReaderRecord{Domain: "east", Holder: "a", Control: netip.MustParseAddrPort("127.0.0.1:1"), Revision: 4}
	theirs = model.ReaderRecord{Domain: "east", Holder: "b", Control: netip.MustParseAddrPort("127.0.0.1:2"), Revision: 5}
	empty  = model.ReaderRecord{Domain: "east"}
)

// TestStep checks from whom an instance learns next after what has happened.
func TestStep(t *testing.T) {
	cases := map[string]struct {
		play func(*fresh.Scheduler)
		want fresh.Step
		wait time.Duration
	}{
		"at the start": {play: func(*fresh.Scheduler) {}, want: fresh.StepReadStore},
		"the store does not answer at the start": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, model.ReaderRecord{}, false) },
			want: fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
		"nobody reads for the domain": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, empty, true) },
			want: fresh.StepClaimRole,
		},
		"this instance reads for the domain": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, mine, true) },
			want: fresh.StepReadStore, wait: time.Second,
		},
		"another one reads for the domain": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, theirs, true); k.FinishReaderPoll(0, 0, true) },
			want: fresh.StepPollReader,
		},
		"the reader does not answer": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, theirs, true); k.FinishReaderPoll(0, 0, false) },
			want: fresh.StepReadStore,
		},
		"the reader has lost the store": {
			play: func(k *fresh.Scheduler) {
				k.FinishStoreRead(0, 0, theirs, true)
				k.FinishReaderPoll(0, 2100*time.Millisecond, true)
			},
			want: fresh.StepReadStore,
		},
		"the reader is silent and still holds its seat": {
			play: func(k *fresh.Scheduler) {
				k.FinishStoreRead(0, 0, theirs, true)
				k.FinishReaderPoll(0, 0, false)
				k.FinishStoreRead(0, 0, theirs, true)
			},
			want: fresh.StepClaimRole,
		},
		"the reader is silent and another took its seat": {
			play: func(k *fresh.Scheduler) {
				next := theirs
				next.Holder, next.Revision = "c", 6
				k.FinishStoreRead(0, 0, theirs, true)
				k.FinishReaderPoll(0, 0, false)
				k.FinishStoreRead(0, 0, next, true)
				k.FinishReaderPoll(0, 0, true)
			},
			want: fresh.StepPollReader,
		},
		"another was faster to claim": {
			play: func(k *fresh.Scheduler) { k.FinishStoreRead(0, 0, empty, true); k.FinishClaim(0, theirs, true) },
			want: fresh.StepPollReader,
		},
		"a claim was not answered": {
			play: func(k *fresh.Scheduler) {
				k.FinishStoreRead(0, 0, empty, true)
				k.FinishClaim(0, model.ReaderRecord{}, false)
			},
			want: fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
		"this instance lost its seat": {
			play: func(k *fresh.Scheduler) {
				k.FinishStoreRead(0, 0, mine, true)
				k.FinishStoreRead(0, 0, theirs, true)
				k.FinishReaderPoll(0, 0, true)
			},
			want: fresh.StepPollReader,
		},
		"beyond a cut, without store and with an outdated reader": {
			play: func(k *fresh.Scheduler) {
				k.FinishStoreRead(0, 0, theirs, true)
				k.FinishReaderPoll(0, 3*time.Second, true)
				k.FinishStoreRead(0, 0, model.ReaderRecord{}, false)
			},
			want: fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: bound, LinkMbps: 1000})
			tc.play(k)
			step, wait := k.Next(0)
			is.Equal(step, tc.want)
			is.Equal(wait, tc.wait)
		})
	}
}

// TestAge plays a domain of five instances whose reader dies or loses the store, and checks how old knowledge becomes.
func TestAge(t *testing.T) {
	cases := map[string]struct {
		reader, store func(now model.Instant) bool
	}{
		"calm":                    {reader: always, store: always},
		"the reader dies":         {reader: before(5 * time.Second), store: always},
		"the reader is cut off":   {reader: always, store: always},
		"the reader stands still": {reader: between(5*time.Second, 9*time.Second), store: always},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const tick = 10 * time.Millisecond
			k := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: bound, LinkMbps: 1000})
			confirmed, told := model.Instant(0), model.Instant(0)
			worst := time.Duration(0)
			seat := theirs
			due := model.Instant(0)
			for now := model.Instant(0); now < model.Instant(20*time.Second); now = now.Add(tick) {
				if tc.reader(now) && now%model.Instant(time.Second) == 0 {
					told = now
				}
				if confirmed > 0 {
					worst = max(worst, now.Sub(confirmed))
				}
				if now < due {
					continue
				}
				step, wait := k.Next(now)
				if wait > 0 {
					due = now.Add(wait)
					continue
				}
				switch step {
				case fresh.StepReadStore:
					k.FinishStoreRead(now, now, seat, tc.store(now))
					confirmed = now
				case fresh.StepPollReader:
					if told > confirmed {
						confirmed = told
						k.FinishReaderPoll(now, now.Sub(told), true)
					} else if now.Sub(confirmed) > k.ReaderTimeout() {
						k.FinishReaderPoll(now, 0, false)
					}
				case fresh.StepClaimRole:
					seat = mine
					seat.Revision = 9
					k.FinishClaim(now, seat, true)
				}
			}
			is.True(worst <= bound*2/3)
		})
	}
}

func always(model.Instant) bool { return true }

func before(d time.Duration) func(model.Instant) bool {
	return func(now model.Instant) bool { return now < model.Instant(d) }
}

func between(from, to time.Duration) func(model.Instant) bool {
	return func(now model.Instant) bool { return now < model.Instant(from) || now > model.Instant(to) }
}

// TestPace checks the rhythm of reads and the patience with a store that is slow.
func TestPace(t *testing.T) {
	is := is.New(t)
	p := fresh.Pacer{MaxStaleness: bound}
	is.Equal(p.FinishRead(true, 100*time.Millisecond), 900*time.Millisecond)
	is.Equal(p.FinishRead(true, 2*time.Second), time.Duration(0))
	var patience []time.Duration
	for range 4 {
		patience = append(patience, p.Timeout())
		is.Equal(p.FinishRead(false, time.Second), 200*time.Millisecond)
	}
	is.Equal(patience, []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, 2400 * time.Millisecond})
	p.FinishRead(true, 0)
	is.Equal(p.Timeout(), 600*time.Millisecond)
}

// TestClaimOrder checks that a vacant seat goes to the instance with the fastest link, and that slower ones look before they claim.
func TestClaimOrder(t *testing.T) {
	cases := map[string]struct {
		link float64
		want time.Duration
	}{
		"the fastest":      {link: 1000},
		"faster than that": {link: 10_000},
		"a medium one":     {link: 100, want: 200 * time.Millisecond},
		"a slow one":       {link: 10, want: 400 * time.Millisecond},
		"one without word": {link: 0, want: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: bound, LinkMbps: tc.link})
			now := model.Instant(time.Minute)
			k.FinishStoreRead(now, now, empty, true)
			step, wait := k.Next(now)
			if tc.want == 0 {
				is.Equal(step, fresh.StepClaimRole)
				return
			}
			is.Equal(step, fresh.StepReadStore)
			is.True(wait > tc.want-time.Millisecond && wait < tc.want+time.Millisecond)
			now = now.Add(wait)
			k.FinishStoreRead(now, now, theirs, true)
			step, _ = k.Next(now.Add(time.Second))
			is.Equal(step, fresh.StepPollReader)
			k.FinishStoreRead(now, now, empty, true)
			now = now.Add(time.Second)
			step, _ = k.Next(now)
			is.Equal(step, fresh.StepClaimRole)
		})
	}
}
