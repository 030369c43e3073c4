declare const brand: unique symbol;

/** Nominal type: a `T` that cannot be mixed up with another branded `T`. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };
