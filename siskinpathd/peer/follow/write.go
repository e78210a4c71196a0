package follow

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/siskinpathd/platform"
)

// writeAssignments writes the assignments that the view proposes until ctx is done.
func (d *Driver) writeAssignments(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-d.writes:
			d.writeAssignment(ctx, a)
		}
	}
}

// writeAssignment replaces the assignment of a.Epoch with a and passes the result to the
// view. Unless the write is known to be committed, the platform is polled at once,
// which also resolves a write whose reply was lost.
func (d *Driver) writeAssignment(ctx context.Context, a membership.Assignment) {
	row, err := d.transact(ctx, a)
	committed, known := err == nil, !platform.OutcomeUnknown(err)
	d.countWrite(err)
	d.handle(func(now clock.Millis) []membership.Action {
		actions := d.view.HandleWriteResult(now, committed, known)
		if committed {
			d.recordAssignment(row)
		}
		return actions
	})
	if !committed {
		wake(d.pollNow)
	}
}

func (d *Driver) transact(ctx context.Context, a membership.Assignment) (row assignmentRow, err error) {
	text, err := json.Marshal(a)
	if err != nil {
		return row, &platform.Error{Kind: platform.NotApplied, Cause: err}
	}
	result, err := d.Platform.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: assignmentKey, Version: a.Epoch}},
		Puts:   []platform.Put{{Key: assignmentKey, Value: string(text)}},
	})
	if err != nil {
		return row, err
	}
	row = assignmentRow{epoch: a.Epoch + 1, value: string(text), members: a.Members}
	if got := result.Rows[0].Version; got != row.epoch {
		return row, &platform.Error{Kind: platform.InvalidReply, Cause: errors.Errorf("version %d after %d", got, a.Epoch)}
	}
	return row, nil
}

func (d *Driver) countWrite(err error) {
	switch {
	case err == nil:
		d.count.writesOK.Inc()
	case platform.IsConflict(err):
		d.count.writesConflict.Inc()
	case platform.OutcomeUnknown(err):
		d.count.writesUnknown.Inc()
	default:
		d.count.writesRefused.Inc()
	}
}
