package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"bergamotloom.example/audit"
	"bergamotloom.example/change"
	"bergamotloom.example/edit"
	"bergamotloom.example/loader"
	"bergamotloom.example/pause"
	"bergamotloom.example/result"
	"bergamotloom.example/settle"
	"bergamotloom.example/snap"
	"bergamotloom.example/stored"
	"bergamotloom.example/write"
)

// Submit applies an edit, or refuses it, against the version in force, and
// leaves one line in the audit trail either way.
//
// Every outcome is confirmed by a transaction on the version that it was
// checked against, so an older read leads to another attempt and never to a
// wrong answer. An error says whether the outcome isn't known or the change
// wasn't accepted; the edit may be submitted again, and is recognised if it
// was accepted after all.
func (s *Store) Submit(ctx context.Context, e edit.Edit) (result.Result, error) {
	e.Who = oneLine(e.Who)
	for n := 1; ; n++ {
		before, err := s.readUntilDone(ctx)
		if err != nil {
			return result.Result{}, errors.WithMessage(err, "not accepted")
		}
		found, writes, err := s.judge(before, e)
		if err != nil {
			return result.Result{}, err
		}
		token := fmt.Sprintf("%s.%d", e.Token, n)
		applied, err := s.commit(ctx, token, writes)
		if err != nil {
			return result.Result{}, errors.WithMessage(err, "store: the change may have been accepted")
		}
		if applied {
			return found, nil
		}
		if !pause.For(ctx, rereadPause) {
			return result.Result{}, errors.New("store: not accepted: the version in force kept changing")
		}
	}
}

// readUntilDone reads until it succeeds or ctx ends; then the error is the
// last one that the platform gave.
func (s *Store) readUntilDone(ctx context.Context) (snap.Snapshot, error) {
	var last error
	for {
		read, err := s.Read(ctx)
		if err == nil {
			return read, nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if !pause.For(ctx, rereadPause) {
			return snap.Snapshot{}, last
		}
	}
}

// commit runs a transaction to its end. One that only checks has no marker
// and may run again.
func (s *Store) commit(ctx context.Context, token string, writes []write.Write) (bool, error) {
	if !writes[0].ChecksOnly() {
		return settle.Transact(ctx, s.table, token, writes)
	}
	for {
		applied, err := s.table.Transact(ctx, token, writes)
		if err == nil || !pause.For(ctx, rereadPause) {
			return applied, errors.Wrap(err, "store: checking the version")
		}
	}
}

// judge decides what becomes of an edit on a version, and returns the writes
// that make it so; the first is the audit line.
func (s *Store) judge(before snap.Snapshot, e edit.Edit) (result.Result, []write.Write, error) {
	check := write.Check(currentKey, before.RowVersion)
	found := result.Result{Version: before.Version, Problems: e.Problems}
	e, found.Conflicts = compare(before, e)
	if e.Empty() && !found.Refused() {
		return found, []write.Write{check}, nil
	}
	after := s.merge(before, e)
	if !found.Refused() {
		_, found.Problems = loader.New().Load(after.Version, after.Contents())
	}
	line := s.line(before, after, e)
	if found.Refused() {
		put, err := putJSON(line.WithRefusal(found.RefusalReason()).Key(), line.WithRefusal(found.RefusalReason()), 0)
		return found, []write.Write{put, check}, err
	}
	found.Accepted = true
	found.Version = after.Version
	writes, err := acceptance(before, after, e, line)
	return found, writes, err
}

// compare drops from the edit what is already so, and returns the files that
// somebody else has changed since.
func compare(before snap.Snapshot, e edit.Edit) (edit.Edit, []stored.File) {
	var conflicts []stored.File
	for _, f := range wanted(e) {
		there, ok := before.Files[f.Name]
		if !ok {
			there = stored.NewRemoved(f.Name)
		}
		switch {
		case there.Digest == f.Digest && there.Removed == f.Removed:
			e = e.WithoutFile(f.Name)
		case there.Digest != e.BaseDigests[f.Name]:
			conflicts = append(conflicts, there)
		}
	}
	return e, conflicts
}

// wanted returns the files of an edit as they are to become.
func wanted(e edit.Edit) []stored.File {
	var files []stored.File
	for _, name := range e.Changed() {
		files = append(files, stored.New(name, e.Contents[name]))
	}
	for _, name := range e.Removed {
		files = append(files, stored.NewRemoved(name))
	}
	return files
}

// merge returns the version that the edit makes.
func (s *Store) merge(before snap.Snapshot, e edit.Edit) snap.Snapshot {
	after := snap.Snapshot{
		Version: before.Version + 1,
		Who:     e.Who,
		When:    s.when(),
		Files:   make(map[string]stored.File, len(before.Files)),
	}
	for name, f := range before.Files {
		after.Files[name] = f
	}
	for _, f := range wanted(e) {
		after.Files[f.Name] = f.WithChange(after.Version, after.Who, after.When)
	}
	return after
}

func (s *Store) line(before, after snap.Snapshot, e edit.Edit) audit.Line {
	return audit.Line{
		Token:   e.Token,
		Who:     e.Who,
		When:    after.When,
		Before:  before.Version,
		After:   after.Version,
		Changed: e.Changed(),
		Removed: e.Removed,
		Digest:  e.Digest(),
	}
}

// acceptance returns the writes of an accepted change.
func acceptance(before, after snap.Snapshot, e edit.Edit, line audit.Line) ([]write.Write, error) {
	encoded, err := change.Change{Version: after.Version, Contents: e.Contents, Removed: e.Removed}.Encode()
	if err != nil {
		return nil, err
	}
	marker, err := putJSON(line.Key(), line, 0)
	if err != nil {
		return nil, err
	}
	head := current{Version: after.Version, Digest: after.Digest(), Who: after.Who, When: after.When}
	version, err := putJSON(currentKey, head, before.RowVersion)
	if err != nil {
		return nil, err
	}
	writes := []write.Write{marker, version, write.Put(changeKey(after.Version), encoded, 0)}
	if after.Version > changesKept {
		writes = append(writes, write.Remove(changeKey(after.Version-changesKept), write.AnyVersion))
	}
	for _, f := range wanted(e) {
		put, err := putJSON(fileKey(f.Name), after.Files[f.Name], write.AnyVersion)
		if err != nil {
			return nil, err
		}
		writes = append(writes, put)
	}
	return writes, nil
}

func putJSON(key string, value any, ifVersion int64) (write.Write, error) {
	encoded, err := json.Marshal(value)
	return write.Put(key, encoded, ifVersion), errors.Wrapf(err, "store: row %s", key)
}
