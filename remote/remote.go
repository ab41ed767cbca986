// Package remote is a client of the platform's table service and object store,
// over HTTP and JSON.
//
// Every call has a timeout, and the package never retries a call. After an
// error the outcome of the call is unknown; package settle finds the
// outcome of a transaction whose response was lost.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/object"
	"bergamotloom.example/record"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	maxIdleConnections = 16
	// maxErrorBytes of an error response are quoted in the error.
	maxErrorBytes = 200
	// maxHeadBytes and maxContentBytes bound the head and the content of a response.
	maxHeadBytes    = 64 << 10
	maxContentBytes = 32 << 20
)

// Client is a client of one platform. It's safe for many goroutines.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the platform at base, a URL such as
// http://127.0.0.1:7070 or only its host and port. The timeout limits each
// call. New returns an error if base isn't such an address.
func New(base string, timeout time.Duration) (*Client, error) {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, errors.Errorf("platform: address %q isn't a URL like http://127.0.0.1:7070", base)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}, nil
}

// Table returns the platform's table service.
func (c *Client) Table() table.Table {
	return tables{c}
}

// Objects returns the platform's object store.
func (c *Client) Objects() object.Store {
	return objects{c}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call sends one request. It returns the body of the response, and false if the
// status is 404.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	address := c.base + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "platform")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxContentBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "platform: reading the response")
	}
	if len(content) > maxContentBytes {
		return nil, false, errors.Errorf("platform: %s %s: the response has more than %d bytes", method, path, maxContentBytes)
	}
	return checkStatus(method, path, response.StatusCode, content)
}

func checkStatus(method, path string, status int, content []byte) ([]byte, bool, error) {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return content, true, nil
	case http.StatusNotFound:
		return nil, false, nil
	}
	text := string(content[:min(len(content), maxErrorBytes)])
	return nil, false, errors.Errorf("platform: %s %s: status %d: %s", method, path, status, text)
}

// read gets a JSON value; it returns false if the status is 404.
func read[V any](ctx context.Context, c *Client, path string, query url.Values) (V, bool, error) {
	var value V
	content, ok, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil || !ok {
		return value, false, err
	}
	if err := json.Unmarshal(content, &value); err != nil {
		return value, false, errors.Wrap(err, "platform: "+path)
	}
	return value, true, nil
}

// tables is the table service over HTTP.
type tables struct {
	client *Client
}

func (t tables) Get(ctx context.Context, key string) (record.Record, bool, error) {
	return read[record.Record](ctx, t.client, "/table/row", url.Values{"Key": {key}})
}

func (t tables) Scan(ctx context.Context, prefix string) ([]record.Record, error) {
	rows, ok, err := read[[]record.Record](ctx, t.client, "/table/rows", url.Values{"Prefix": {prefix}})
	if err == nil && !ok {
		return nil, errors.New("platform: no table service at this address")
	}
	return rows, err
}

// transaction is the request body of a table transaction, outcome the response
// body.
type transaction struct {
	Token  string
	Writes []write.Write
}

type outcome struct {
	Applied bool
}

func (t tables) Transact(ctx context.Context, token string, writes []write.Write) (bool, error) {
	body, err := json.Marshal(transaction{Token: token, Writes: writes})
	if err != nil {
		return false, errors.Wrap(err, "platform: transaction")
	}
	content, ok, err := t.client.call(ctx, http.MethodPost, "/table/transactions", nil, body)
	if err != nil {
		return false, err
	}
	if !ok {
		return false, errors.New("platform: no table service at this address")
	}
	var o outcome
	if err := json.Unmarshal(content, &o); err != nil {
		return false, errors.Wrap(err, "platform: transaction")
	}
	return o.Applied, nil
}

// objects is the object store over HTTP.
type objects struct {
	client *Client
}

func (o objects) Put(ctx context.Context, name string, value []byte) error {
	_, ok, err := o.client.call(ctx, http.MethodPut, "/objects/one", url.Values{"Name": {name}}, value)
	if err == nil && !ok {
		return errors.New("platform: no object store at this address")
	}
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, bool, error) {
	return o.client.call(ctx, http.MethodGet, "/objects/one", url.Values{"Name": {name}}, nil)
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	names, ok, err := read[[]string](ctx, o.client, "/objects", url.Values{"Prefix": {prefix}})
	if err == nil && !ok {
		return nil, errors.New("platform: no object store at this address")
	}
	return names, err
}
