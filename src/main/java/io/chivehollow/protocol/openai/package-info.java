/** The OpenAI-compatible HTTP protocol of callers: requests, responses, events of streamed responses and errors. */
@NullMarked
package io.chivehollow.protocol.openai;

import org.jspecify.annotations.NullMarked;
