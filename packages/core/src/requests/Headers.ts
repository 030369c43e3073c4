/** HTTP headers by lower-case name; a header sent more than once has several values. */
export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;
