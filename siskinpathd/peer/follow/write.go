package follow

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/siskinpathd/platform"
)

// writeAssignments writes what the view proposes until ctx is done.
func (d *Driver) writeAssignments(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-d.writes:
			d.write(ctx, a)
		}
	}
}

// write puts a over the epoch that it carries and tells the view how it ended.
// After any end but a commit the platform is looked at again at once, which
// also settles a write whose reply was lost.
func (d *Driver) write(ctx context.Context, a membership.Assignment) {
	row, err := d.put(ctx, a)
	committed, known := err == nil, !platform.Unknown(err)
	d.countWrite(err)
	d.do(func(now clock.Millis) []membership.Action {
		actions := d.view.HandleWriteResult(now, committed, known)
		if committed {
			d.taken(row)
		}
		return actions
	})
	if !committed {
		signal(d.kick)
	}
}

func (d *Driver) put(ctx context.Context, a membership.Assignment) (row assignmentRow, err error) {
	text, err := json.Marshal(a)
	if err != nil {
		return row, &platform.Error{Kind: platform.NotApplied, Cause: err}
	}
	result, err := d.Platform.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: rowAssignment, Version: a.Epoch}},
		Puts:   []platform.Put{{Key: rowAssignment, Value: string(text)}},
	})
	if err != nil {
		return row, err
	}
	row = assignmentRow{epoch: a.Epoch + 1, value: string(text), members: a.Members}
	if got := result.Rows[0].Version; got != row.epoch {
		return row, &platform.Error{Kind: platform.Garbage, Cause: errors.Errorf("version %d after %d", got, a.Epoch)}
	}
	return row, nil
}

func (d *Driver) countWrite(err error) {
	switch {
	case err == nil:
		d.count.writesOK.Inc()
	case platform.Conflicted(err):
		d.count.writesConflict.Inc()
	case platform.Unknown(err):
		d.count.writesUnknown.Inc()
	default:
		d.count.writesRefused.Inc()
	}
}
