/** Release notes: parsing, validation, application to a configuration, and submission to the store. */
package org.coriandercrank.note;
