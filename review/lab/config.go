package main

type object = map[string]any

// resource is an entry of a config's list.
func resource(kind, name string, spec object) object {
	metadata := object{}
	if name != "" {
		metadata["name"] = name
	}
	return object{"entry_kind": kind, "metadata": metadata, "spec": spec}
}

// routeOf returns a route of the host name that all cases use.
func routeOf(name, prefix, kind, service string) object {
	return resource("routes", name, object{
		"host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 400, "priority": 1,
		"service": service, "max_attempts": 2,
	})
}

const hostName = "ficu95.example"

func serviceOf(name string) object {
	return resource("services", name, object{"health_path": "/health", "max_conns": 318, "protocol": "h1", "tls": false})
}

func limits() object {
	return resource("limits", "", object{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	})
}

func tenantOf(name string, perSecond, burst float64, keys ...string) object {
	spec := object{"api_keys": keys}
	if perSecond > 0 {
		spec["rate_per_s"], spec["burst"] = perSecond, burst
	}
	return resource("tenants", name, spec)
}

func configOf(version int, resources ...object) object {
	return object{"version": version, "resources": resources}
}
