// Package store keeps the configuration in the platform's table.
//
// Rows are JSON with names in Pascal case, except that changes are CBOR:
//
//	config/current       the version in force and the digest of its files
//	files/NAME           a file with its content and its last change
//	changes/VERSION      the encoded change, for nodes that haven't received it
//	audit/VERSION        the audit line of an accepted change
//	audit/VERSION-TIME-TOKEN  the audit line of a change that was refused while
//	                          VERSION was in force
//
// A change is one transaction that is conditional on config/current, so that
// accepted changes are totally ordered, each checked against the one before it.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/audit"
	"bergamotloom.example/change"
	"bergamotloom.example/clock"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
	"bergamotloom.example/snap"
	"bergamotloom.example/stored"
	"bergamotloom.example/table"
)

const (
	currentKey       = "config/current"
	filesKeyPrefix   = "files/"
	changesKeyPrefix = "changes/"

	// maxChanges is the number of changes that the table keeps for nodes. A
	// node that is further behind reads the whole version.
	maxChanges = 1000
	// auditBlockVersions is the number of versions whose audit lines are read
	// at once. It must be a power of ten.
	auditBlockVersions = 1000

	microsPerMilli = 1000
	// retryDelay is the delay before reading or writing again.
	retryDelay = 50 * time.Millisecond
)

var errMixedVersions = errors.New("store: the table returned rows of different versions")

// Store reads and changes the configuration in the table. It's safe for many
// goroutines.
type Store struct {
	table table.Table
	clock clock.Clock
}

// New returns a store on the platform's table.
func New(t table.Table, c clock.Clock) *Store {
	return &Store{table: t, clock: c}
}

// current is the row that holds the version in force.
type current struct {
	Version int64
	Digest  string
	Who     string
	When    string
}

// Version returns the version in force, or 0 before the first change. It may
// return an older version if the table's read is stale.
func (s *Store) Version(ctx context.Context) (int64, error) {
	row, ok, err := s.table.Get(ctx, currentKey)
	if err != nil || !ok {
		return 0, errors.Wrap(err, "store: reading the version")
	}
	c, err := parse[current](row)
	return c.Version, err
}

// Change returns an accepted change, or false if the table no longer or not yet
// holds it; Read then returns the whole version.
func (s *Store) Change(ctx context.Context, version int64) (change.Change, bool, error) {
	row, ok, err := s.table.Get(ctx, changeKey(version))
	if err != nil || !ok {
		return change.Change{}, false, errors.Wrap(err, "store: reading a change")
	}
	c, err := change.Decode(row.Value)
	return c, err == nil, errors.Wrap(err, "store")
}

// Read returns the version in force with its files. If a change is made while
// it reads, it reads again, until ctx ends.
func (s *Store) Read(ctx context.Context) (snap.Snapshot, error) {
	for {
		read, err := s.readOnce(ctx)
		if !errors.Is(err, errMixedVersions) || !pause.For(ctx, retryDelay) {
			return read, err
		}
	}
}

// Whole returns the version in force as one change, for a node that starts or
// that missed changes which the table no longer holds.
func (s *Store) Whole(ctx context.Context) (change.Change, error) {
	read, err := s.Read(ctx)
	return read.Change(), err
}

func (s *Store) readOnce(ctx context.Context) (snap.Snapshot, error) {
	rows, err := s.table.Scan(ctx, filesKeyPrefix)
	if err != nil {
		return snap.Snapshot{}, errors.Wrap(err, "store: reading the files")
	}
	row, ok, err := s.table.Get(ctx, currentKey)
	if err != nil {
		return snap.Snapshot{}, errors.Wrap(err, "store: reading the version")
	}
	read := snap.Snapshot{Files: make(map[string]stored.File, len(rows))}
	for _, r := range rows {
		f, err := parse[stored.File](r)
		if err != nil {
			return snap.Snapshot{}, err
		}
		read.Files[f.Name] = f
	}
	return withCurrent(read, row, ok)
}

// withCurrent adds the version to the files, or returns errMixedVersions if the
// files are of another version.
func withCurrent(read snap.Snapshot, row record.Record, ok bool) (snap.Snapshot, error) {
	if !ok {
		if len(read.Files) > 0 {
			return snap.Snapshot{}, errMixedVersions
		}
		return read, nil
	}
	c, err := parse[current](row)
	if err != nil {
		return snap.Snapshot{}, err
	}
	if c.Digest != read.Digest() {
		return snap.Snapshot{}, errMixedVersions
	}
	read.Version = c.Version
	read.RowVersion = row.Version
	read.Who = c.Who
	read.When = c.When
	return read, nil
}

// Audit returns the lines of the audit trail whose version, before or after the
// edit, is at least from, oldest first. It reads
// blocks of auditBlockVersions versions, so that reading the latest lines
// doesn't read all others.
func (s *Store) Audit(ctx context.Context, from int64) ([]audit.Line, error) {
	last, err := s.Version(ctx)
	if err != nil {
		return nil, err
	}
	var lines []audit.Line
	for block := max(from, 0) / auditBlockVersions; block <= last/auditBlockVersions; block++ {
		rows, err := s.table.Scan(ctx, audit.BlockKeyPrefix(block*auditBlockVersions, auditBlockVersions))
		if err != nil {
			return nil, errors.Wrap(err, "store: reading the audit trail")
		}
		for _, r := range rows {
			l, err := parse[audit.Line](r)
			if err != nil {
				return nil, err
			}
			if max(l.Before, l.After) >= from {
				lines = append(lines, l)
			}
		}
	}
	return lines, nil
}

func parse[V any](row record.Record) (V, error) {
	var value V
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "store: row %s", row.Key)
}

func fileKey(name string) string {
	return filesKeyPrefix + name
}

func changeKey(version int64) string {
	return fmt.Sprintf("%s%012d", changesKeyPrefix, version)
}

// timestamp returns the current time in the format of the rows.
func (s *Store) timestamp() string {
	micros := int64(s.clock.Fine() * microsPerMilli)
	return time.UnixMicro(micros).UTC().Format("2006-01-02T15:04:05.000000Z")
}

// oneLine removes line breaks, so that an operator's name stays on one line of
// the audit trail.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
