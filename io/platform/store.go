package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

const (
	// MaxValueBytes is the maximum size of a value in the store, in bytes.
	MaxValueBytes = 1 << 20

	maxResponseBytes = 64 << 20
	blockTimeout     = 30 * time.Second // time for which the store may block a read
	responseMargin   = 2 * time.Second  // time beyond blockTimeout within which a response must begin
)

// Store is a client of the key-value store. It implements carawaycart.Store and is
// safe for concurrent use.
type Store struct {
	baseURL string // URL without a path
	client  *http.Client
	onCall  func()
}

// NewStore returns a client of the store at baseURL, a URL without a path. The client
// calls onCall, unless it is nil, before each request.
func NewStore(baseURL string, onCall func()) *Store {
	return &Store{baseURL: baseURL, client: newClient(), onCall: onCall}
}

func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 4
	transport.ResponseHeaderTimeout = blockTimeout + responseMargin
	return &http.Client{Transport: transport}
}

// Get returns the entry at key. The error is NotFound if there is none.
func (s *Store) Get(ctx context.Context, key string) (carawaycart.StoreEntry, error) {
	return s.getEntry(ctx, key, url.Values{})
}

// Wait returns the entry at key once its modify index exceeds index. After
// blockTimeout it returns the unchanged entry, or a NotFound error if there is none.
func (s *Store) Wait(ctx context.Context, key string, index carawaycart.StoreIndex) (carawaycart.StoreEntry, error) {
	return s.getEntry(ctx, key, url.Values{
		"index": {strconv.FormatUint(uint64(index), 10)},
		"wait":  {blockTimeout.String()},
	})
}

func (s *Store) getEntry(ctx context.Context, key string, query url.Values) (carawaycart.StoreEntry, error) {
	var e carawaycart.StoreEntry
	err := s.call(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, &e)
	return e, err
}

// List returns the entries whose keys have the given prefix, in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]carawaycart.StoreEntry, error) {
	var entries []carawaycart.StoreEntry
	err := s.call(ctx, http.MethodGet, "/v1/kv/"+prefix, url.Values{"recurse": {"true"}}, nil, &entries)
	return entries, err
}

// CompareAndSwap writes value at key if the entry's modify index equals index and
// reports whether it did. The index of an absent entry is zero. The error is
// NotValid if value is longer than MaxValueBytes; after any other error, the value may
// have been written.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, index carawaycart.StoreIndex) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, errors.NotValidf("value of %d bytes at key %s (limit %d)", len(value), key, MaxValueBytes)
	}
	var swapped bool
	query := url.Values{"cas": {strconv.FormatUint(uint64(index), 10)}}
	err := s.call(ctx, http.MethodPut, "/v1/kv/"+key, query, value, &swapped)
	return swapped, err
}

// call sends a request to the store and decodes its JSON response into result.
func (s *Store) call(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	target := s.baseURL + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "create request for %s", target)
	}
	if s.onCall != nil {
		s.onCall()
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Annotatef(err, "%s request to store %s", method, s.baseURL)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Annotatef(decodeResponse(response, result), "%s %s of store %s", method, path, s.baseURL)
}

// decodeResponse decodes the JSON body of response into result. The error is
// NotFound for HTTP status 404.
func decodeResponse(response *http.Response, result any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Annotate(err, "read response")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return errors.Annotate(json.Unmarshal(data, result), "decode response")
	case http.StatusNotFound:
		return errors.NotFoundf("HTTP status 404: resource")
	}
	return errors.New(fmt.Sprintf("HTTP status %d", response.StatusCode))
}

// InstanceList is a client of the platform's list of instances. It implements
// carawaycart.InstanceList and is safe for concurrent use.
type InstanceList struct {
	baseURL string // URL without a path
	client  *http.Client
}

// NewInstanceList returns a client of the list of instances at baseURL, a URL
// without a path.
func NewInstanceList(baseURL string) *InstanceList {
	return &InstanceList{baseURL: baseURL, client: newClient()}
}

// Instances returns the balancer instances in the list, which may lag behind.
func (l *InstanceList) Instances(ctx context.Context) ([]carawaycart.ListedInstance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Annotatef(err, "create request for instance list %s", l.baseURL)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "get instance list %s", l.baseURL)
	}
	defer func() { _ = response.Body.Close() }()
	var instances []carawaycart.ListedInstance
	return instances, errors.Annotatef(decodeResponse(response, &instances), "get instance list %s", l.baseURL)
}
