package direct

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"

	"jackdawswitch/refusal"
)

// handle handles the request. Its error is a *refusal.Error. A panic becomes one, so that the
// caller gets an answer and the log has the cause.
func (x *exchange) handle() (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if aborted, ok := cause.(error); ok && errors.Is(aborted, http.ErrAbortHandler) {
			panic(cause)
		}
		x.router.logger.Error("request handling panicked", "request", x.meta.ID, "panic", cause, "stack", string(debug.Stack()))
		if x.openChoice != nil {
			x.router.cancelPick(*x.openChoice)
		}
		x.resetBrokenResponse()
		x.mayHaveRun = x.mayHaveRun || x.progress.state != stateUnsent
		err = refusal.MayHaveRun(refusal.CauseInternal, "unexpected failure").WithError(errors.Errorf("panic: %v", cause))
	}()
	if err := x.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.router.drain.requestsEnd, cancel)()
	if err := x.admit(ctx); err != nil {
		return err
	}
	return x.run(ctx)
}
