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

// Submit applies an edit to the version in force or refuses it, and adds one
// line to the audit trail in both cases.
//
// Every outcome is confirmed by a transaction on the version against which the
// edit was checked, so a stale read leads to another attempt and never to a
// wrong result. If an error says that the change may have been accepted, the
// outcome is unknown; with any other error the change wasn't accepted. The edit
// may be submitted again, and is recognised if it was already accepted.
func (s *Store) Submit(ctx context.Context, e edit.Edit) (result.Result, error) {
	e.Who = oneLine(e.Who)
	for n := 1; ; n++ {
		before, err := s.readWithRetries(ctx)
		if err != nil {
			return result.Result{}, errors.WithMessage(err, "not accepted")
		}
		outcome, writes, err := s.evaluate(before, e)
		if err != nil {
			return result.Result{}, err
		}
		token := fmt.Sprintf("%s.%d", e.Token, n)
		applied, err := s.commit(ctx, token, writes)
		if err != nil {
			return result.Result{}, errors.WithMessage(err, "store: the change may have been accepted")
		}
		if applied {
			return outcome, nil
		}
		if !pause.For(ctx, retryDelay) {
			return result.Result{}, errors.New("store: not accepted: the version in force kept changing")
		}
	}
}

// readWithRetries reads until it succeeds or ctx ends; then it returns the last
// error from before ctx ended, which names the cause.
func (s *Store) readWithRetries(ctx context.Context) (snap.Snapshot, error) {
	var lastErr error
	for {
		read, err := s.Read(ctx)
		if err == nil {
			return read, nil
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		if !pause.For(ctx, retryDelay) {
			return snap.Snapshot{}, lastErr
		}
	}
}

// commit retries a transaction until its outcome is known. The audit line is
// the marker row by which package settle finds the outcome. A transaction that
// only checks versions has none, and may be repeated.
func (s *Store) commit(ctx context.Context, token string, writes []write.Write) (bool, error) {
	if !writes[0].ChecksOnly() {
		return settle.Transact(ctx, s.table, token, writes)
	}
	for {
		applied, err := s.table.Transact(ctx, token, writes)
		if err == nil || !pause.For(ctx, retryDelay) {
			return applied, errors.Wrap(err, "store: checking the version")
		}
	}
}

// evaluate accepts or refuses an edit of the version before, and returns the
// result and the writes that record it. The first write is the audit line; for
// an edit without effect, the only write checks the version.
func (s *Store) evaluate(before snap.Snapshot, e edit.Edit) (result.Result, []write.Write, error) {
	versionCheck := write.Check(currentKey, before.RowVersion)
	outcome := result.Result{Version: before.Version, Problems: e.Problems}
	e, outcome.Conflicts = compare(before, e)
	if e.Empty() && !outcome.Refused() {
		return outcome, []write.Write{versionCheck}, nil
	}
	after := s.merge(before, e)
	if !outcome.Refused() {
		_, outcome.Problems = loader.New().Load(after.Version, after.Contents())
	}
	line := s.auditLine(before, after, e)
	if outcome.Refused() {
		put, err := putJSON(line.WithRefusal(outcome.RefusalReason()).Key(), line.WithRefusal(outcome.RefusalReason()), 0)
		return outcome, []write.Write{put, versionCheck}, err
	}
	outcome.Accepted = true
	outcome.Version = after.Version
	writes, err := acceptedWrites(before, after, e, line)
	return outcome, writes, err
}

// compare removes from the edit the files that already have the wanted content,
// and returns the files that another operator has changed since.
func compare(before snap.Snapshot, e edit.Edit) (edit.Edit, []stored.File) {
	var conflicts []stored.File
	for _, f := range editedFiles(e) {
		existing, ok := before.Files[f.Name]
		if !ok {
			existing = stored.NewRemoved(f.Name)
		}
		switch {
		case existing.Digest == f.Digest && existing.Removed == f.Removed:
			e = e.WithoutFile(f.Name)
		case existing.Digest != e.BaseDigests[f.Name]:
			conflicts = append(conflicts, existing)
		}
	}
	return e, conflicts
}

// editedFiles returns the files of an edit with their new contents.
func editedFiles(e edit.Edit) []stored.File {
	var files []stored.File
	for _, name := range e.Changed() {
		files = append(files, stored.New(name, e.Contents[name]))
	}
	for _, name := range e.Removed {
		files = append(files, stored.NewRemoved(name))
	}
	return files
}

// merge returns the version after the edit.
func (s *Store) merge(before snap.Snapshot, e edit.Edit) snap.Snapshot {
	after := snap.Snapshot{
		Version: before.Version + 1,
		Who:     e.Who,
		When:    s.timestamp(),
		Files:   make(map[string]stored.File, len(before.Files)),
	}
	for name, f := range before.Files {
		after.Files[name] = f
	}
	for _, f := range editedFiles(e) {
		after.Files[f.Name] = f.WithChange(after.Version, after.Who, after.When)
	}
	return after
}

func (s *Store) auditLine(before, after snap.Snapshot, e edit.Edit) audit.Line {
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

// acceptedWrites returns the writes of an accepted change.
func acceptedWrites(before, after snap.Snapshot, e edit.Edit, line audit.Line) ([]write.Write, error) {
	encoded, err := change.Change{Version: after.Version, Contents: e.Contents, Removed: e.Removed}.Encode()
	if err != nil {
		return nil, err
	}
	marker, err := putJSON(line.Key(), line, 0)
	if err != nil {
		return nil, err
	}
	row := current{Version: after.Version, Digest: after.Digest(), Who: after.Who, When: after.When}
	version, err := putJSON(currentKey, row, before.RowVersion)
	if err != nil {
		return nil, err
	}
	writes := []write.Write{marker, version, write.Put(changeKey(after.Version), encoded, 0)}
	if after.Version > maxChanges {
		writes = append(writes, write.Remove(changeKey(after.Version-maxChanges), write.AnyVersion))
	}
	for _, f := range editedFiles(e) {
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
