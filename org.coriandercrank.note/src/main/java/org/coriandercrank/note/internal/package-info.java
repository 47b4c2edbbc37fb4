/** Validation of the fields of note entries, and merging of entries into objects of the configuration. */
package org.coriandercrank.note.internal;
