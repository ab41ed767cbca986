package node

import (
	"context"
	"strings"
	"time"

	"bergamotloom.example/ident"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/member"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	// memberKeys is how the keys of the members' rows begin.
	memberKeys = "members/"
	joinMillis = 1000
)

// join makes the node known: it asks the peers that it was given, reads the
// rows of the others from the table and puts its own row there.
func (n *Node) join(ctx context.Context) {
	for _, j := range n.setup.Join {
		n.gossip.Join(j)
	}
	rows := memberRows{n.platform.Table()}
	for {
		err := rows.enter(ctx, n.gossip.Self(), n.gossip.Learn)
		if err == nil || ctx.Err() != nil {
			return
		}
		n.log.Warn("node: the table can't be reached to join", "Error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinMillis * time.Millisecond):
		}
	}
}

// memberRows reads and writes the members' rows.
type memberRows struct {
	table table.Table
}

// enter writes the node's own row and then hands all others to learn. In this
// order two nodes that join at once can't both miss the other.
func (r memberRows) enter(ctx context.Context, self member.Member, learn func(member.Member)) error {
	value, err := cbor.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "node: encoding the own record")
	}
	w := write.Put(memberKeys+self.ID, value, write.AnyVersion)
	if _, err := r.table.Transact(ctx, ident.New(), []write.Write{w}); err != nil {
		return errors.Wrap(err, "node: writing the own record")
	}
	rows, err := r.table.Scan(ctx, memberKeys)
	if err != nil {
		return errors.Wrap(err, "node: reading the members")
	}
	for _, row := range rows {
		var m member.Member
		if cbor.Unmarshal(row.Value, &m) == nil && m.ID != self.ID && strings.HasSuffix(row.Key, m.ID) {
			learn(m)
		}
	}
	return nil
}
