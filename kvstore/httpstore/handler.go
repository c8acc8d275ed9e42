package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

// NewHandler serves a store. A write whose outcome is unknown gets no answer:
// its connection is closed.
func NewHandler(store kvstore.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathGet, func(ctx context.Context, r keyRequest) (entryAnswer, error) {
		entry, err := store.Get(ctx, r.Key)
		return entryAnswer{entry}, err
	})
	handle(mux, pathList, func(ctx context.Context, r prefixRequest) (entriesAnswer, error) {
		entries, err := store.List(ctx, r.Prefix)
		return entriesAnswer{entries}, err
	})
	handle(mux, pathCompareAndSwap, func(ctx context.Context, r swapRequest) (versionAnswer, error) {
		version, err := store.CompareAndSwap(ctx, r.Key, r.Expected, r.Value, r.Lease)
		return versionAnswer{version}, err
	})
	handle(mux, pathDelete, func(ctx context.Context, r deleteRequest) (emptyAnswer, error) {
		return emptyAnswer{}, store.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, pathWatch, func(ctx context.Context, r watchRequest) (entriesAnswer, error) {
		entries, err := store.Watch(ctx, r.Prefix, r.After, milliseconds(r.WaitMS, maxWatchWait))
		return entriesAnswer{entries}, err
	})
	handle(mux, pathGrantLease, func(ctx context.Context, r grantLeaseRequest) (leaseAnswer, error) {
		lease, err := store.GrantLease(ctx, milliseconds(r.TTLMS, maxTimeToLive))
		return leaseAnswer{lease}, err
	})
	handle(mux, pathKeepAlive, func(ctx context.Context, r leaseRequest) (emptyAnswer, error) {
		return emptyAnswer{}, store.KeepAlive(ctx, r.Lease)
	})
	handle(mux, pathRevoke, func(ctx context.Context, r leaseRequest) (emptyAnswer, error) {
		return emptyAnswer{}, store.Revoke(ctx, r.Lease)
	})
	handle(mux, pathVMs, func(ctx context.Context, _ emptyRequest) (vmsAnswer, error) {
		vms, err := store.VMs(ctx)
		return vmsAnswer{vms}, err
	})
	return mux
}

// NewFaultHandler serves a stand-in store together with its faults.
func NewFaultHandler(store *memstore.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/store/", NewHandler(store))
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, store.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := decode[memstore.Faults](w, r); ok {
			store.SetFaults(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, store.Counts())
	})
	mux.HandleFunc("PUT "+PathVMs, func(w http.ResponseWriter, r *http.Request) {
		if vms, ok := decode[[]kvstore.VM](w, r); ok {
			store.SetVMs(vms)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST "+PathLapse, func(w http.ResponseWriter, r *http.Request) {
		if request, ok := decode[LapseRequest](w, r); ok {
			serveLapse(w, store, request)
		}
	})
	return mux
}

func serveLapse(w http.ResponseWriter, store *memstore.Store, request LapseRequest) {
	lapsed := false
	if request.Key != "" {
		lapsed = store.LapseKey(request.Key)
	} else {
		lapsed = store.LapseLease(request.Lease)
	}
	if !lapsed {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handle serves one call.
func handle[Request, Answer any](mux *http.ServeMux, path string, call func(context.Context, Request) (Answer, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		request, ok := decode[Request](w, r)
		if !ok {
			return
		}
		answer, err := call(r.Context(), request)
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

// decode reads a request's body, or answers with KindInvalid or KindTooLarge.
func decode[Request any](w http.ResponseWriter, r *http.Request) (Request, bool) {
	var request Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		return request, true
	}
	kind := kvstore.KindInvalid
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		kind = kvstore.KindTooLarge
	}
	writeFailure(w, &kvstore.Error{Kind: kind, Err: err})
	return request, false
}

func writeFailure(w http.ResponseWriter, err error) {
	var failed *kvstore.Error
	if !errors.As(err, &failed) {
		failed = &kvstore.Error{Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown, Err: err}
	}
	if failed.Outcome == kvstore.OutcomeUnknown {
		panic(http.ErrAbortHandler) // The reply is lost.
	}
	body := failure{Failure: failed.Kind.String(), Current: failed.Current}
	if failed.Err != nil {
		body.Reason = failed.Err.Error()
	}
	writeJSON(w, statusOf(failed.Kind), body)
}

func statusOf(kind kvstore.Kind) int {
	switch kind {
	case kvstore.KindNotFound:
		return http.StatusNotFound
	case kvstore.KindConflict:
		return http.StatusConflict
	case kvstore.KindThrottled:
		return http.StatusTooManyRequests
	case kvstore.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case kvstore.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // The connection is gone if it fails.
}

// milliseconds returns a duration of whole milliseconds within 0 and limit.
func milliseconds(value int64, limit time.Duration) time.Duration {
	bounded := min(max(value, 0), limit.Milliseconds())
	return time.Duration(bounded) * time.Millisecond
}
