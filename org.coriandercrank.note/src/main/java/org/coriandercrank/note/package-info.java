/** Release notes: reading, checking, applying to a configuration, and submission to the store. */
package org.coriandercrank.note;
