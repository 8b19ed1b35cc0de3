package etcdkv

// The messages of etcd's JSON gateway (API v3) used by the adapter. The gateway
// encodes 64-bit integers as strings and bytes as base64.

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Kvs []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type requestOp struct {
	RequestPut *putRequest `json:"request_put,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseKeepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}
