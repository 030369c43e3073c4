const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Builds a desired state from routes and services in short form. */
export function buildConfiguration(version, { routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'shop.example',
      timeout_ms: 5_000,
      target_latency_ms: 500,
      priority: 0,
      attempts: 1,
      ...route,
    })),
    services: services.map((service) => ({
      max_connections: 96,
      cold_start_s: 0,
      cold_per_s: 0,
      health_path: '/health',
      ...service,
    })),
    limits: LIMITS,
  };
}
