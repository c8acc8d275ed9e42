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

// NewHandler returns a handler that serves a store. A write whose outcome is
// unknown gets no response: its connection is closed.
func NewHandler(store kvstore.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathGet, func(ctx context.Context, r keyRequest) (entryResponse, error) {
		entry, err := store.Get(ctx, r.Key)
		return entryResponse{entry}, err
	})
	handle(mux, pathList, func(ctx context.Context, r prefixRequest) (entriesResponse, error) {
		entries, err := store.List(ctx, r.Prefix)
		return entriesResponse{entries}, err
	})
	handle(mux, pathCompareAndSwap, func(ctx context.Context, r swapRequest) (versionResponse, error) {
		version, err := store.CompareAndSwap(ctx, r.Key, r.Expected, r.Value, r.Lease)
		return versionResponse{version}, err
	})
	handle(mux, pathDelete, func(ctx context.Context, r deleteRequest) (emptyResponse, error) {
		return emptyResponse{}, store.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, pathWatch, func(ctx context.Context, r watchRequest) (entriesResponse, error) {
		entries, err := store.Watch(ctx, r.Prefix, r.After, milliseconds(r.WaitMS, maxWatchWait))
		return entriesResponse{entries}, err
	})
	handle(mux, pathGrantLease, func(ctx context.Context, r grantLeaseRequest) (leaseResponse, error) {
		lease, err := store.GrantLease(ctx, milliseconds(r.TTLMS, maxLeaseTTL))
		return leaseResponse{lease}, err
	})
	handle(mux, pathKeepAlive, func(ctx context.Context, r leaseRequest) (emptyResponse, error) {
		return emptyResponse{}, store.KeepAlive(ctx, r.Lease)
	})
	handle(mux, pathRevoke, func(ctx context.Context, r leaseRequest) (emptyResponse, error) {
		return emptyResponse{}, store.Revoke(ctx, r.Lease)
	})
	handle(mux, pathVMs, func(ctx context.Context, _ emptyRequest) (vmsResponse, error) {
		vms, err := store.VMs(ctx)
		return vmsResponse{vms}, err
	})
	return mux
}

// NewFaultHandler returns a handler that serves a memstore.Store and its fault
// injection interface.
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
	expired := false
	if request.Key != "" {
		expired = store.LapseKey(request.Key)
	} else {
		expired = store.LapseLease(request.Lease)
	}
	if !expired {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handle registers the handler of one call.
func handle[Request, Response any](mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		request, ok := decode[Request](w, r)
		if !ok {
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// decode decodes a request's body. If that fails, it writes a response with
// KindInvalid or KindTooLarge and returns false.
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
	var storeErr *kvstore.Error
	if !errors.As(err, &storeErr) {
		storeErr = &kvstore.Error{Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown, Err: err}
	}
	if storeErr.Outcome == kvstore.OutcomeUnknown {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	body := failure{Failure: storeErr.Kind.String(), Current: storeErr.Current}
	if storeErr.Err != nil {
		body.Reason = storeErr.Err.Error()
	}
	writeJSON(w, statusOf(storeErr.Kind), body)
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
	case kvstore.KindHistoryGone:
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // Fails only if the connection is lost.
}

// milliseconds converts value to a duration, clamped to the range from 0 to
// limit.
func milliseconds(value int64, limit time.Duration) time.Duration {
	bounded := min(max(value, 0), limit.Milliseconds())
	return time.Duration(bounded) * time.Millisecond
}
