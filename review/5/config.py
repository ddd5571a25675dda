"""The config of the case."""

HOST = "ficu95.example"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-query",
            "host": HOST,
            "path_prefix": "/pufi791/",
            "kind": "stream",
            "timeout_ms": 3000,
            "slo_ms": 1200,
            "priority": 0,
            "service": "huvo11a",
            "attempts": 2,
            "sticky": True,
            "can_resume": True,
            "gap_target_ms": 400,
            "home_regions": [],
        },
        {
            "name": "r-fetch",
            "host": HOST,
            "path_prefix": "/pule252/",
            "kind": "unsafe",
            "timeout_ms": 6000,
            "slo_ms": 450,
            "priority": 0,
            "service": "wuno96b",
            "attempts": 1,
            "sticky": False,
            "can_resume": False,
            "home_regions": [],
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/health",
            "max_conns": 230,
            "proto": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "cold_per_s": 3.3,
            "engine": {
                "slots": 32,
                "kv_capacity": 496728,
                "kv_token_bytes": 327680,
                "link_mbps": 350000.0,
                "moves": True,
                "backups": True,
                "stride": 9,
                "most": 12,
                "pin_ms": 4000.0,
                "hold_ms": 2000.0,
                "handle_s": 5.0,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "wuno96b",
            "health_path": "/health",
            "max_conns": 96,
            "proto": "h1",
            "tls": False,
            "warmup_s": 0.0,
            "cold_per_s": 0.0,
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
# The route that the next version adds.
ADDED = {
    **CONFIG["routes"][1],
    "name": "r-status",
    "path_prefix": "/gozu418/",
    "kind": "safe",
    "attempts": 2,
}
NEXT_CONFIG = {
    **CONFIG,
    "version": 12,
    "routes": [*CONFIG["routes"], ADDED],
}
