/** The settings file of a process: JSON with comments, validated as a whole before any role starts. */
@NullMarked
package io.chivehollow.settings;

import org.jspecify.annotations.NullMarked;
