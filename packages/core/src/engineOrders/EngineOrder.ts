/** Order to an engine. Every order sets a state, so it is idempotent. */
export type EngineOrder =
  | { readonly kind: 'load-model'; readonly model: string; readonly weights: string }
  | { readonly kind: 'unload-model'; readonly model: string };
