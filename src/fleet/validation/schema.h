// The JSON schema of the operator's configuration.
#ifndef BITTERNMUX_SRC_FLEET_VALIDATION_SCHEMA_H_
#define BITTERNMUX_SRC_FLEET_VALIDATION_SCHEMA_H_

namespace bitternmux::fleet {

inline constexpr const char* kConfigurationSchema = R"json({
  "type": "object",
  "required": ["version", "routes", "services"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "routes": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "host", "path_prefix", "route_type", "timeout_ms"],
      "properties": {
        "name": {"type": "string"},
        "host": {"type": "string", "minLength": 1},
        "path_prefix": {"type": "string"},
        "route_type": {"enum": ["safe", "non_idempotent", "streaming"]},
        "timeout_ms": {"type": "number", "minimum": 0, "exclusiveMinimum": true},
        "target_latency_ms": {"type": "number", "minimum": 0},
        "gap_aim_ms": {"type": "number", "minimum": 0},
        "priority": {"type": "integer"},
        "max_attempts": {"type": "integer", "minimum": 1},
        "public": {"type": "boolean"},
        "session_affinity": {"type": "boolean"},
        "resumable": {"type": "boolean"},
        "service": {"type": "string"},
        "traffic_split": {"type": "array", "minItems": 1, "items": {
          "type": "object",
          "required": ["service", "weight"],
          "properties": {"service": {"type": "string"}, "weight": {"type": "number", "minimum": 0}}
        }}
      },
      "anyOf": [{"required": ["service"]}, {"required": ["traffic_split"]}]
    }},
    "services": {"type": "array", "items": {
      "type": "object",
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "health_path": {"type": "string"},
        "max_connections": {"type": "integer", "minimum": 0},
        "cold_start_s": {"type": "number", "minimum": 0},
        "cold_rate_s": {"type": "number", "minimum": 0},
        "engine": {"type": "object", "properties": {
          "slots": {"type": "number", "minimum": 0},
          "kv_tokens": {"type": "number", "minimum": 0}
        }}
      }
    }},
    "limits": {"type": "object", "properties": {
      "max_header_bytes": {"type": "integer", "minimum": 1},
      "max_body_bytes": {"type": "integer", "minimum": 0},
      "header_timeout_ms": {"type": "number", "minimum": 0},
      "idle_timeout_ms": {"type": "number", "minimum": 0}
    }},
    "tenants": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "api_keys"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "api_keys": {"type": "array", "items": {"type": "string", "minLength": 1}},
        "priority": {"type": "integer"},
        "unit": {"type": "string"},
        "uncached_tokens": {"type": "number", "minimum": 0},
        "rate_per_s": {"type": "number", "minimum": 0},
        "burst": {"type": "number", "minimum": 0}
      }
    }}
  }
})json";

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_VALIDATION_SCHEMA_H_
