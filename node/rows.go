package node

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/change"
	"bergamotloom.example/table"
)

// configRows reads the configuration out of the table.
type configRows struct {
	table table.Table
}

// Version returns the version in force, 0 before the first.
func (r configRows) Version(ctx context.Context) (int64, error) {
	row, ok, err := r.table.Get(ctx, "config/current")
	if err != nil || !ok {
		return 0, errors.Wrap(err, "node: reading the version in force")
	}
	return row.Version, nil
}

// Whole returns the configuration with all its files.
func (r configRows) Whole(ctx context.Context) (change.Change, error) {
	version, err := r.Version(ctx)
	if err != nil {
		return change.Change{}, err
	}
	rows, err := r.table.Scan(ctx, "files/")
	if err != nil {
		return change.Change{}, errors.Wrap(err, "node: reading the files")
	}
	c := change.Change{Version: version, Whole: true, Contents: make(map[string][]byte)}
	for _, row := range rows {
		c.Contents[strings.TrimPrefix(row.Key, "files/")] = row.Value
	}
	return c, nil
}
